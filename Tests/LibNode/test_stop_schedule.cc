#include <boost/test/unit_test.hpp>

#include "LibNode/stop_schedule.h"

using std::chrono::milliseconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_SUITE(stop_schedule_suite)

BOOST_AUTO_TEST_CASE(AStopGoesThroughItsPhases) {
  struct phase_case {
    milliseconds elapsed;
    bool is_idle;
    stop_phase expected;
  };
  constexpr milliseconds kGrace{6'000};
  const phase_case table[] = {
      {milliseconds{0}, true, stop_phase::kNotice},
      {milliseconds{2'599}, true, stop_phase::kNotice},
      {milliseconds{2'600}, true, stop_phase::kDrain},
      {milliseconds{2'899}, true, stop_phase::kDrain},
      {milliseconds{2'900}, true, stop_phase::kClose},
      {milliseconds{2'900}, false, stop_phase::kDrain},
      {milliseconds{5'199}, false, stop_phase::kDrain},
      {milliseconds{5'200}, false, stop_phase::kCut},
      {milliseconds{5'200}, true, stop_phase::kClose},
  };
  for (const phase_case& each : table) {
    BOOST_TEST(
        (StopPhaseAt(each.elapsed, kGrace, each.is_idle) == each.expected),
        each.elapsed.count());
  }
}

// A backend server may be at work on a request until the last sixth of the
// grace period; its answer must not be cut before.
BOOST_AUTO_TEST_CASE(TheLastAnswersAreDueBetweenTheLastSixthAndTheCut) {
  for (const milliseconds grace : {milliseconds{6'000}, milliseconds{10'000}}) {
    const duration period = AnswerPeriod(grace);
    BOOST_TEST((period >= grace - grace / 6));
    BOOST_TEST((StopPhaseAt(period, grace, false) == stop_phase::kDrain));
  }
}

// A tenth of a core: no turn for 0.4 s when the cut is due, and again while the
// process ends.
BOOST_AUTO_TEST_CASE(TheCutLeavesTimeToEndWithinTheGracePeriod) {
  constexpr milliseconds kLongestPause{400};
  for (const milliseconds grace : {milliseconds{6'000}, milliseconds{10'000}}) {
    milliseconds elapsed{0};
    while (StopPhaseAt(elapsed, grace, false) != stop_phase::kCut) {
      elapsed += milliseconds{1};
    }
    BOOST_TEST(elapsed.count() + 2 * kLongestPause.count() <= grace.count());
  }
}

BOOST_AUTO_TEST_SUITE_END()
