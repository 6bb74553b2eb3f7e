#include <boost/test/unit_test.hpp>

#include "LibTraffic/peer_clock.h"

using std::chrono::milliseconds;
using namespace wagtailmount;          // NOLINT(google-build-using-namespace)
using namespace wagtailmount::detail;  // NOLINT(google-build-using-namespace)

namespace {

// A node whose clock differs from this one's, and the delay of its answers.
struct peer_fixture {
  milliseconds PeerTime() const { return StatedTime(clock.Now()) + lead; }

  void Answer(milliseconds delay) {
    const milliseconds stated = PeerTime();
    clock.Advance(delay);
    peer.Record(clock.Now(), stated);
  }

  manual_clock clock;
  milliseconds lead{-123'456};
  peer_clock peer;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(peer_clock_suite, peer_fixture)

BOOST_AUTO_TEST_CASE(NothingIsKnownBeforeAnAnswer) {
  BOOST_TEST(!peer.PeerTimeAt(clock.Now()).has_value());
}

BOOST_AUTO_TEST_CASE(TheEstimateIsBehindByTheShortestDelay) {
  Answer(milliseconds{300});
  Answer(milliseconds{4});
  Answer(milliseconds{900});
  BOOST_TEST((*peer.PeerTimeAt(clock.Now()) == PeerTime() - milliseconds{4}));
}

// The clock of a VM that was suspended stands still meanwhile.
BOOST_AUTO_TEST_CASE(AClockThatFellBehindIsFollowed) {
  Answer(milliseconds{2});
  lead -= milliseconds{5'000};
  clock.Advance(milliseconds{10'001});
  Answer(milliseconds{3});
  BOOST_TEST((*peer.PeerTimeAt(clock.Now()) == PeerTime() - milliseconds{3}));
}

BOOST_AUTO_TEST_CASE(AClockThatGainedIsFollowedAtOnce) {
  Answer(milliseconds{2});
  lead += milliseconds{5'000};
  Answer(milliseconds{3});
  BOOST_TEST((*peer.PeerTimeAt(clock.Now()) == PeerTime() - milliseconds{3}));
}

BOOST_AUTO_TEST_SUITE_END()
