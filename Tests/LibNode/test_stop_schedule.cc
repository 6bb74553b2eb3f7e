#include <boost/test/unit_test.hpp>

#include "LibNode/stop_schedule.h"

using std::chrono::milliseconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

constexpr milliseconds kGracePeriods[] = {
    milliseconds{0},     milliseconds{500},   milliseconds{1'000},
    milliseconds{3'000}, milliseconds{4'000}, milliseconds{6'000},
    milliseconds{10'000}};

}  // namespace

BOOST_AUTO_TEST_SUITE(stop_schedule_suite)

BOOST_AUTO_TEST_CASE(AStopGoesThroughItsPhases) {
  struct phase_case {
    milliseconds elapsed;
    bool is_idle;
    bool has_withdrawn;
    bool is_answering;
    stop_phase expected;
  };
  const stop_schedule schedule = MakeStopSchedule(milliseconds{6'000});
  const phase_case table[] = {
      {milliseconds{0}, true, false, false, stop_phase::kNotice},
      {milliseconds{2'599}, true, false, false, stop_phase::kNotice},
      {milliseconds{2'600}, true, false, false, stop_phase::kDrain},
      {milliseconds{2'899}, true, false, false, stop_phase::kDrain},
      {milliseconds{2'900}, true, false, false, stop_phase::kClose},
      {milliseconds{2'900}, false, false, false, stop_phase::kDrain},
      {milliseconds{5'199}, false, true, false, stop_phase::kDrain},
      {milliseconds{5'200}, false, true, false, stop_phase::kCut},
      {milliseconds{5'200}, true, true, false, stop_phase::kClose},
      // A thread that had no turn has not answered what it serves.
      {milliseconds{5'200}, false, false, false, stop_phase::kDrain},
      {milliseconds{5'599}, false, false, false, stop_phase::kDrain},
      {milliseconds{5'600}, false, false, false, stop_phase::kCut},
      // A long answer that is on its way to a slow reader is not cut before the
      // process must end.
      {milliseconds{5'200}, false, true, true, stop_phase::kDrain},
      {milliseconds{5'599}, false, true, true, stop_phase::kDrain},
      {milliseconds{5'600}, false, true, true, stop_phase::kCut},
      // The close of idle connections, which takes a while, ends in time too.
      {milliseconds{5'599}, true, true, false, stop_phase::kClose},
      {milliseconds{5'600}, true, true, false, stop_phase::kCut},
  };
  for (const phase_case& each : table) {
    BOOST_TEST((StopPhaseAt(each.elapsed, schedule,
                            {each.is_idle, each.has_withdrawn,
                             each.is_answering}) == each.expected),
               each.elapsed.count());
  }
}

// A backend server may be at work on a request until the last sixth of the
// grace period; its answer must not be cut before, however short the period.
BOOST_AUTO_TEST_CASE(TheLastAnswersAreDueBetweenTheLastSixthAndTheCut) {
  for (const milliseconds grace : kGracePeriods) {
    const stop_schedule schedule = MakeStopSchedule(grace);
    BOOST_TEST_CONTEXT(grace.count()) {
      BOOST_TEST((schedule.answer_by >= grace - grace / 6));
      BOOST_TEST((schedule.answer_by <= schedule.cut_at));
      BOOST_TEST((schedule.drain_at <= schedule.answer_by));
      BOOST_TEST((schedule.drain_at <= schedule.close_at));
      BOOST_TEST((schedule.close_at <= schedule.cut_at));
      BOOST_TEST((schedule.cut_at <= schedule.end_by));
      BOOST_TEST(
          (schedule.answer_by + schedule.verdict_wait <= schedule.end_by));
      BOOST_TEST((schedule.end_by <= grace));
    }
  }
}

// A request that comes later than this after the signal may not be cut even at
// the end, so it must not be taken.
BOOST_AUTO_TEST_CASE(NoRequestIsTakenThatMayNotBeCut) {
  for (const milliseconds grace : kGracePeriods) {
    BOOST_TEST((MakeStopSchedule(grace).drain_at < milliseconds{3'000}));
  }
}

// A tenth of a core: no turn for 0.4 s when the cut is due, and again while the
// process ends.
BOOST_AUTO_TEST_CASE(TheCutLeavesTimeToEndWithinTheGracePeriod) {
  constexpr milliseconds kLongestPause{400};
  for (const milliseconds grace : {milliseconds{6'000}, milliseconds{10'000}}) {
    BOOST_TEST((MakeStopSchedule(grace).cut_at + 2 * kLongestPause <= grace));
  }
}

// The last sixth of a shorter period is too short for such pauses; the end of
// the process gets at least half of it.
BOOST_AUTO_TEST_CASE(TheCutLeavesHalfOfTheLastSixthOfAShortGracePeriod) {
  for (const milliseconds grace : {milliseconds{3'000}, milliseconds{4'000}}) {
    const duration left = grace - MakeStopSchedule(grace).cut_at;
    BOOST_TEST((2 * left >= grace / 6));
  }
}

BOOST_AUTO_TEST_SUITE_END()
