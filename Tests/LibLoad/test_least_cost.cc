#include <boost/test/unit_test.hpp>

#include "Tests/LibLoad/mixed_load.h"

using std::chrono::milliseconds;
using namespace wagtailmount;           // NOLINT(google-build-using-namespace)
using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_SUITE(least_cost_suite)

BOOST_AUTO_TEST_CASE(MoreRequestsAreOnTimeThanWithoutKinds) {
  for (const double load : kLoads) {
    BOOST_TEST_CONTEXT("load " << load) {
      const results with_kinds = Offer(MixedKinds(), load, true, 1);
      const results without_kinds = Offer(MixedKinds(), load, false, 1);
      Report(with_kinds, load, "with kinds");
      Report(without_kinds, load, "without kinds");
      BOOST_TEST(OnTime(with_kinds) > 1.1 * OnTime(without_kinds));
    }
  }
}

BOOST_AUTO_TEST_CASE(NoKindIsServedLessThanAQuarterAsOftenAsAll) {
  for (const double load : kLoads) {
    const results all = Offer(MixedKinds(), load, true, 2);
    for (const auto& [kind, each] : all) {
      BOOST_TEST_CONTEXT("load " << load << " kind " << kind) {
        BOOST_TEST(each.ServedShare() >= 0.25 * ServedShare(all));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(AMoreUrgentKindIsNotServedLessOften) {
  const std::vector<kind_of_load> kinds{
      {1, kUrgent, milliseconds{140}, milliseconds{400}, milliseconds{2'000},
       0.5},
      {2, kUsual, milliseconds{60}, milliseconds{400}, milliseconds{2'000},
       0.3},
      {3, kPatient, milliseconds{20}, milliseconds{800}, milliseconds{2'000},
       0.2}};
  for (const double load : kLoads) {
    BOOST_TEST_CONTEXT("load " << load) {
      results all = Offer(kinds, load, true, 3);
      Report(all, load, "urgent");
      BOOST_TEST(all[1].ServedShare() >= all[2].ServedShare() - 0.05);
      BOOST_TEST(all[1].ServedShare() >= all[3].ServedShare() - 0.05);
      BOOST_TEST(all[2].ServedShare() >= all[3].ServedShare() - 0.05);
    }
  }
}

// Up to an eighth of the objective, a refusal costs the caller nothing. Over
// all that are refused, each wait as a part of its objective.
BOOST_AUTO_TEST_CASE(WhatIsTurnedAwayHasWaitedLittleOnAverage) {
  for (const double load : kLoads) {
    const results all = Offer(MixedKinds(), load, true, 4);
    double waited = 0.0;
    int refused = 0;
    for (const kind_of_load& each : MixedKinds()) {
      const kind_result& result = all.at(each.kind);
      waited +=
          SecondsOf(result.waited_before_refusal) / SecondsOf(each.objective);
      refused += result.refused;
    }
    BOOST_TEST_CONTEXT("load " << load) { BOOST_TEST(waited <= refused / 8.0); }
  }
}

BOOST_AUTO_TEST_CASE(BelowCapacityNothingIsTurnedAway) {
  const results all = Offer(MixedKinds(), 0.7, true, 5);
  for (const auto& [kind, each] : all) {
    BOOST_TEST_CONTEXT("kind " << kind) {
      BOOST_TEST(each.ServedShare() > 0.98);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
