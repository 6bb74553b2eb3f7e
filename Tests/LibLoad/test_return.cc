#include <boost/test/unit_test.hpp>
#include <set>

#include "LibLoad/caller_patience.h"
#include "LibLoad/load_text.h"
#include "LibLoad/retry_budget.h"
#include "LibLoad/return_time.h"

using std::chrono::milliseconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_SUITE(return_suite)

BOOST_AUTO_TEST_CASE(ACallerIsToldToComeBackWithinAThirdOfItsTime) {
  random_source random{1};
  std::set<std::int64_t> told;
  for (int count = 0; count < 200; ++count) {
    const milliseconds after = ReturnAfter(milliseconds{3'000}, random);
    BOOST_TEST((after <= milliseconds{1'000}));
    BOOST_TEST((after >= milliseconds{500}));
    told.insert(after.count());
  }
  // Callers refused together do not return together.
  BOOST_TEST(told.size() > 100U);
}

BOOST_AUTO_TEST_CASE(WithoutTimeComingBackMakesNoSense) {
  random_source random{1};
  BOOST_TEST((ReturnAfter(milliseconds{90}, random) == milliseconds{0}));
  BOOST_TEST((ReturnAfter(milliseconds{-5}, random) == milliseconds{0}));
}

BOOST_AUTO_TEST_CASE(CallersThatComeBackAreToldByTheTimeTheyHaveLeft) {
  caller_patience patience;
  BOOST_TEST(
      (patience.WaitedBefore("a", milliseconds{2'500}) == milliseconds{0}));
  BOOST_TEST(
      (patience.WaitedBefore("a", milliseconds{1'700}) == milliseconds{800}));
  BOOST_TEST(
      (patience.WaitedBefore("b", milliseconds{400}) == milliseconds{0}));
  BOOST_TEST(
      (patience.WaitedBefore("a", milliseconds{2'500}) == milliseconds{0}));
}

BOOST_AUTO_TEST_CASE(AnOwnersLoadIsReadBackAsWritten) {
  const owner_load load{milliseconds{33}, milliseconds{521}, 18,
                        milliseconds{7}};
  const auto read = ParseLoad(LoadText(load));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->wait == load.wait && read->service == load.service));
  BOOST_TEST((read->slots == load.slots && read->held == load.held));
  for (const char* const malformed :
       {"", "1", "1 2 3", "1 2 3 ", "1 2 3 4 5", "1 2 3 -4", "1  2 3 4",
        "a 2 3 4", "1 2 3 4x", "1 2 3 99999999999999999999"}) {
    BOOST_TEST(!ParseLoad(malformed), malformed);
  }
}

// Twelve nodes spend their parts at once, after a long calm.
BOOST_AUTO_TEST_CASE(AllNodesTogetherStayWithinTheFleetsRetries) {
  constexpr int kNodes = 12;
  constexpr int kRequestsANode = 300;
  const fleet_retry_limits limits{0.2, 64};
  int spent = 0;
  for (int node = 0; node < kNodes; ++node) {
    retry_budget budget;
    for (int count = 0; count < kRequestsANode; ++count) {
      budget.SetLimits(limits, kNodes);
      budget.Earn(5.0);
      spent += budget.TrySpend() ? 1 : 0;
    }
  }
  BOOST_TEST(spent > 0.1 * kNodes * kRequestsANode);
  BOOST_TEST(spent <= 0.2 * kNodes * kRequestsANode + 64);
}

BOOST_AUTO_TEST_SUITE_END()
