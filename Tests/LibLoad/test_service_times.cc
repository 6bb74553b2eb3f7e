#include <boost/test/unit_test.hpp>

#include "LibLoad/admission_controller.h"
#include "LibLoad/service_times.h"

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

constexpr auto kRank = static_cast<request_priority>(1);
constexpr request_kind kPosting = 7;
constexpr request_kind kCall = 8;

struct service_times_fixture {
  manual_clock clock;
  service_times times;

  void Record(request_kind kind, milliseconds taken) {
    times.Record(clock.Now(), kRank, kind, taken);
  }
  duration Of(request_kind kind) const {
    return times.Of(clock.Now(), kRank, kind);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(service_times_suite, service_times_fixture)

BOOST_AUTO_TEST_CASE(EachKindHasItsOwnMean) {
  Record(kPosting, milliseconds{110});
  BOOST_TEST((Of(kCall) == duration::zero()));
  Record(kCall, milliseconds{21});
  BOOST_TEST((Of(kPosting) == milliseconds{110}));
  BOOST_TEST((Of(kCall) == milliseconds{21}));
}

BOOST_AUTO_TEST_CASE(AKindThatIsNotToldHasTheMeanOfItsRank) {
  BOOST_TEST((Of(kUnknownKind) == duration::zero()));
  Record(kUnknownKind, milliseconds{80});
  BOOST_TEST((Of(kUnknownKind) == milliseconds{80}));
}

BOOST_AUTO_TEST_CASE(AKindIsForgottenWithAge) {
  Record(kCall, milliseconds{500});
  clock.Advance(seconds{61});
  BOOST_TEST((Of(kCall) == duration::zero()));
  Record(kCall, milliseconds{21});
  BOOST_TEST((Of(kCall) == milliseconds{21}));
}

BOOST_AUTO_TEST_CASE(KindsBeyondTheBoundShareTheMeanOfTheirRank) {
  for (request_kind kind = 1; kind <= 1'000; ++kind) {
    Record(kind, milliseconds{100});
  }
  BOOST_TEST((Of(1) == milliseconds{100}));
  Record(1'000, milliseconds{260});
  BOOST_TEST((Of(1'000) == milliseconds{110}));
  BOOST_TEST((Of(1) == milliseconds{100}));
  // Once the first kinds no longer run, others take their places.
  clock.Advance(seconds{61});
  Record(1'000, milliseconds{40});
  BOOST_TEST((Of(1'000) == milliseconds{40}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(durations_of_kinds_suite)

// Calls of 21 ms with an objective of 80 ms, judged by the 110 ms of the
// postings in their rank, counted as late before they started.
BOOST_AUTO_TEST_CASE(ShortCallsAreNotJudgedByLongRequestsOfTheirRank) {
  manual_clock clock;
  admission_controller controller;
  upstream_limits limits;
  limits.slots = 1;
  limits.queue = 8;
  controller.SetLimits(limits);
  const auto arrive = [&](request_kind kind, milliseconds objective,
                          milliseconds deadline) {
    const time_point now = clock.Now();
    return controller.Arrive(now,
                             {now + deadline, kRank, now + objective, kind});
  };
  const auto run = [&](request_kind kind, milliseconds taken) {
    const auto reply = arrive(kind, milliseconds{400}, milliseconds{2'500});
    BOOST_REQUIRE((reply.decided == admission_reply::kind::kStart));
    clock.Advance(taken);
    controller.Finish(clock.Now(), reply.id);
  };
  for (int i = 0; i < 20; ++i) {
    run(kPosting, milliseconds{110});
  }
  run(kCall, milliseconds{21});
  BOOST_TEST(
      (controller.Load(clock.Now(), kRank, kCall).service == milliseconds{21}));
  BOOST_TEST((controller.Load(clock.Now(), kRank, kPosting).service ==
              milliseconds{110}));
  run(kCall, milliseconds{21});
  arrive(kCall, milliseconds{80}, milliseconds{250});
  const auto waiting = arrive(kCall, milliseconds{80}, milliseconds{250});
  BOOST_TEST((waiting.decided == admission_reply::kind::kQueued));
  // Until then its answer meets the objective also if it takes long.
  BOOST_TEST((waiting.start_by - clock.Now() == microseconds{48'500}));
}

BOOST_AUTO_TEST_SUITE_END()
