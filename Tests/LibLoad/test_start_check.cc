#include <boost/test/unit_test.hpp>

#include <optional>

#include "LibLoad/start_check.h"

using std::chrono::milliseconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_SUITE(start_check_suite)

// Each row: a request was admitted in time, then waited for a slot, for a
// connection or for its thread.
BOOST_AUTO_TEST_CASE(NothingStartsPastItsDeadlineRequesterOrBackendServer) {
  struct start_case {
    const char* name;
    milliseconds deadline_in;
    bool has_requester_left;
    std::optional<milliseconds> leaving_for;
    refusal_cause expected;
    bool is_evacuated = false;
  };
  const start_case table[] = {
      {"in time", milliseconds{1}, false, std::nullopt, refusal_cause::kNone},
      {"at the deadline", milliseconds{0}, false, std::nullopt,
       refusal_cause::kTooLate},
      {"past the deadline", milliseconds{-1'200}, false, std::nullopt,
       refusal_cause::kTooLate},
      {"requester gone", milliseconds{500}, true, std::nullopt,
       refusal_cause::kAbandoned},
      {"leaving since just now", milliseconds{500}, false, milliseconds{0},
       refusal_cause::kNone},
      {"at the end of the grace period", milliseconds{500}, false,
       kLeavingGracePeriod, refusal_cause::kNone},
      {"leaving for longer", milliseconds{500}, false,
       kLeavingGracePeriod + milliseconds{1}, refusal_cause::kDraining},
      {"left long ago", milliseconds{9'000}, false, milliseconds{6'000},
       refusal_cause::kDraining},
      {"evacuated just now", milliseconds{500}, false, std::nullopt,
       refusal_cause::kEvacuated, true},
      {"evacuated and in the grace period of leaving", milliseconds{500}, false,
       milliseconds{0}, refusal_cause::kEvacuated, true},
  };
  const manual_clock clock;
  const time_point now = clock.Now();
  for (const start_case& each : table) {
    const time_point leaving_since =
        each.leaving_for ? now - *each.leaving_for : time_point{};
    BOOST_TEST((CauseNotToStart(
                    now, {.deadline = now + each.deadline_in,
                          .has_requester_left = each.has_requester_left,
                          .leaving_since = leaving_since,
                          .is_evacuated = each.is_evacuated}) == each.expected),
               each.name);
  }
}

BOOST_AUTO_TEST_SUITE_END()
