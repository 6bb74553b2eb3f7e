#include <boost/test/unit_test.hpp>

#include "LibCatalog/catalog_feed.h"

using std::chrono::milliseconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

struct feed_fixture {
  feed_call Next(std::uint64_t complete_to) {
    return feed.NextCall(clock.Now(), complete_to);
  }

  void Call(feed_call call, std::optional<error_kind> failure = std::nullopt) {
    feed.Begin(clock.Now(), call);
    clock.Advance(milliseconds{5});
    feed.End(clock.Now(), failure, false);
  }

  // A follower that has listed, and whose peer has just reported the same state
  // as the newest one.
  void BecomeFollowerWithRecentPeer() {
    Call(feed_call::kListStale);
    feed.RecordPeerState(clock.Now(), milliseconds{0});
  }

  manual_clock clock;
  catalog_feed feed{{}, 1};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(catalog_feed_suite, feed_fixture)

BOOST_AUTO_TEST_CASE(AStartingNodeMakesAStaleListingAndWaitsForItsPeers) {
  BOOST_TEST((Next(0) == feed_call::kListStale));
  Call(feed_call::kListStale);
  BOOST_TEST((Next(7) == feed_call::kNone));
  BOOST_TEST(!feed.Age(clock.Now()));
  clock.Advance(milliseconds{700});
  BOOST_TEST((Next(7) == feed_call::kWatch));
}

BOOST_AUTO_TEST_CASE(AStartingNodeOnASlowLinkListsOnlyTheUpstreamsFirst) {
  catalog_feed::settings chosen;
  chosen.lists_upstreams_first = true;
  feed = catalog_feed{chosen, 1};
  BOOST_TEST((Next(0) == feed_call::kListUpstreams));
  Call(feed_call::kListUpstreams);
  BOOST_TEST((Next(0) == feed_call::kNone));
  BOOST_TEST(!feed.Age(clock.Now()));
  clock.Advance(milliseconds{450});
  BOOST_TEST((Next(0) == feed_call::kNone));
  // A peer has sent the whole catalog, which was the newest state 100 ms ago.
  feed.RecordPeerState(clock.Now(), milliseconds{100});
  BOOST_TEST((Next(7) == feed_call::kNone));
  clock.Advance(milliseconds{100});
  BOOST_TEST((Next(0) == feed_call::kListStale));
}

BOOST_AUTO_TEST_CASE(AReaderWatchesAllTheTime) {
  feed.SetReader(true);
  Call(feed_call::kListStale);
  BOOST_TEST((Next(7) == feed_call::kWatch));
  Call(feed_call::kWatch);
  BOOST_TEST((Next(7) == feed_call::kWatch));
}

BOOST_AUTO_TEST_CASE(AFollowerWatchesOnlyWhileNoPeerSendsARecentState) {
  BecomeFollowerWithRecentPeer();
  BOOST_TEST((Next(7) == feed_call::kNone));
  clock.Advance(milliseconds{1'100});
  BOOST_TEST((Next(7) == feed_call::kWatch));
  // After a read of its own it still does not rely on silent peers.
  Call(feed_call::kWatch);
  BOOST_TEST((Next(7) == feed_call::kWatch));
  feed.RecordPeerState(clock.Now(), milliseconds{200});
  BOOST_TEST((Next(7) == feed_call::kNone));
}

BOOST_AUTO_TEST_CASE(AnOldPeerStateDoesNotReplaceAWatch) {
  BecomeFollowerWithRecentPeer();
  clock.Advance(milliseconds{1'100});
  feed.RecordPeerState(clock.Now(), milliseconds{1'500});
  BOOST_TEST((Next(7) == feed_call::kWatch));
}

// A peer cannot send a change that is too large for its link: the follower
// reads from the platform once and then relies on its peers again.
BOOST_AUTO_TEST_CASE(AFollowerReadsOnceWhatItsPeersCannotSend) {
  BecomeFollowerWithRecentPeer();
  feed.RequestOwnRead();
  BOOST_TEST((Next(7) == feed_call::kWatch));
  Call(feed_call::kWatch);
  BOOST_TEST((Next(7) == feed_call::kNone));
}

BOOST_AUTO_TEST_CASE(AReaderListsAtOnceWhenTheHistoryIsDiscarded) {
  feed.SetReader(true);
  Call(feed_call::kListStale);
  Call(feed_call::kWatch, error_kind::kConflict);
  BOOST_TEST((Next(7) == feed_call::kList));
  BOOST_TEST(!feed.IsFailing());
}

// Guards against a burst of listings: if every node of a failure domain has a
// watch of its own when the platform discards its history, all of them have to
// list. Followers wait, so that the reader can list and send them the result.
BOOST_AUTO_TEST_CASE(AFollowerDelaysItsListingWhenTheHistoryIsDiscarded) {
  Call(feed_call::kListStale);
  clock.Advance(milliseconds{700});
  Call(feed_call::kWatch, error_kind::kConflict);
  BOOST_TEST((Next(7) == feed_call::kNone));
  clock.Advance(milliseconds{750});
  BOOST_TEST((Next(7) == feed_call::kNone));
  // Without a message from the reader it lists by itself.
  clock.Advance(milliseconds{500});
  BOOST_TEST((Next(7) == feed_call::kList));
  feed.RecordPeerState(clock.Now(), milliseconds{50});
  BOOST_TEST((Next(9) == feed_call::kNone));
}

BOOST_AUTO_TEST_CASE(FailedCallsAreRetriedWithExponentialBackoff) {
  feed.SetReader(true);
  Call(feed_call::kListStale);
  int calls = 0;
  for (int step = 0; step < 1'000; ++step) {
    if (Next(7) != feed_call::kNone) {
      ++calls;
      Call(feed_call::kWatch, error_kind::kUnavailable);
    }
    clock.Advance(milliseconds{10});
  }
  // A reader makes about 35 calls at most in an outage of 10 s.
  BOOST_TEST(calls > 15);
  BOOST_TEST(calls < 40);
  BOOST_TEST(feed.IsFailing());
}

// Entries that vanish are kept only around an outage. One failed call, of a VM
// that is slow or that the platform refuses for a moment, is none: an upstream
// whose entry is removed just then must not stay in use.
BOOST_AUTO_TEST_CASE(AFailedCallAloneIsNoOutage) {
  BecomeFollowerWithRecentPeer();
  for (int step = 0; step < 30; ++step) {
    Call(feed_call::kWatch, error_kind::kTimeout);
    clock.Advance(milliseconds{95});
    feed.UpdateOutage(clock.Now());
    feed.RecordPeerState(clock.Now(), milliseconds{300});
  }
  BOOST_TEST(!feed.LastOutageAt().has_value());
}

BOOST_AUTO_TEST_CASE(AnOutageLastsUntilTheNewestStateIsHeldAgain) {
  feed.SetReader(true);
  Call(feed_call::kListStale);
  Call(feed_call::kWatch);
  for (int step = 0; step < 25; ++step) {
    Call(feed_call::kWatch, error_kind::kUnavailable);
    clock.Advance(milliseconds{95});
    feed.UpdateOutage(clock.Now());
  }
  const time_point last = clock.Now();
  BOOST_REQUIRE(feed.LastOutageAt().has_value());
  BOOST_TEST((*feed.LastOutageAt() == last));
  Call(feed_call::kWatch);
  clock.Advance(milliseconds{95});
  feed.UpdateOutage(clock.Now());
  BOOST_TEST((*feed.LastOutageAt() == last));
}

BOOST_AUTO_TEST_CASE(AWatchInFlightProvesFreshnessOnlyUntilItIsOverdue) {
  feed.SetReader(true);
  Call(feed_call::kListStale);
  Call(feed_call::kWatch);
  feed.Begin(clock.Now(), feed_call::kWatch);
  clock.Advance(milliseconds{1'000});
  BOOST_TEST((*feed.Age(clock.Now()) == milliseconds{0}));
  clock.Advance(milliseconds{1'000});
  BOOST_TEST((*feed.Age(clock.Now()) >= milliseconds{2'000}));
}

BOOST_AUTO_TEST_SUITE_END()
