// How long requests wait before they are turned away, kind by kind.

#include <boost/test/unit_test.hpp>

#include "Tests/LibLoad/mixed_load.h"

using std::chrono::milliseconds;
using namespace wagtailmount;           // NOLINT(google-build-using-namespace)
using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_SUITE(refusal_wait_suite)

// Up to an eighth of the objective, a refusal costs the caller nothing.
BOOST_AUTO_TEST_CASE(WhatIsTurnedAwayIsTurnedAwayAtOnce) {
  for (const double load : kLoads) {
    const results all = Offer(MixedKinds(), load, true, 4);
    for (const kind_of_load& each : MixedKinds()) {
      const kind_result& result = all.at(each.kind);
      BOOST_TEST_CONTEXT("load " << load << " kind " << each.kind) {
        BOOST_TEST(SecondsOf(result.waited_before_refusal) <=
                   SecondsOf(each.objective) / 8.0 * result.refused);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
