#include <boost/test/unit_test.hpp>
#include <set>

#include "LibLoad/caller_wait_estimator.h"
#include "LibLoad/load_text.h"
#include "LibLoad/retry_after_delay.h"
#include "LibLoad/retry_budget.h"

using std::chrono::milliseconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_SUITE(caller_retries_suite)

BOOST_AUTO_TEST_CASE(RetryAfterDelayIsWithinAThirdOfTheTimeLeft) {
  random_source random{1};
  std::set<std::int64_t> delays;
  for (int count = 0; count < 200; ++count) {
    const milliseconds after = RetryAfterDelay(milliseconds{3'000}, random);
    BOOST_TEST((after <= milliseconds{1'000}));
    BOOST_TEST((after >= milliseconds{500}));
    delays.insert(after.count());
  }
  // Callers refused together must not retry together.
  BOOST_TEST(delays.size() > 100U);
}

// Load pattern: healthy upstreams refuse 55 % of their requests. Callers retry
// twice, each time after the delay that they are given.
BOOST_AUTO_TEST_CASE(RandomlyRefusedCallersRetryInTime) {
  constexpr int kCallers = 2'000;
  constexpr milliseconds kDeadline{4'000};
  constexpr milliseconds kObjective{600};
  constexpr milliseconds kService{210};
  random_source random{5};
  int on_time = 0;
  for (int caller = 0; caller < kCallers; ++caller) {
    milliseconds passed{0};
    for (int attempt = 0; attempt < 3; ++attempt) {
      if (random.Fraction() >= 0.55) {
        on_time += passed + kService <= kObjective ? 1 : 0;
        break;
      }
      passed +=
          EarlyRetryAfterDelay(kDeadline - passed, kObjective - passed, random);
    }
  }
  // 83 % are served at all: 1 - 0.55^3.
  BOOST_TEST(on_time > 0.8 * kCallers);
}

BOOST_AUTO_TEST_CASE(NoRetryAfterDelayWithoutTimeForARetry) {
  random_source random{1};
  BOOST_TEST((RetryAfterDelay(milliseconds{90}, random) == milliseconds{0}));
  BOOST_TEST((RetryAfterDelay(milliseconds{-5}, random) == milliseconds{0}));
  BOOST_TEST((EarlyRetryAfterDelay(milliseconds{90}, milliseconds{400},
                                   random) == milliseconds{0}));
  // Past the objective the delay is that of any other refusal.
  BOOST_TEST((EarlyRetryAfterDelay(milliseconds{3'000}, milliseconds{-5},
                                   random) >= milliseconds{500}));
}

BOOST_AUTO_TEST_CASE(RetriesAreRecognisedByTheirTimeLeft) {
  caller_wait_estimator estimator;
  const time_point now{};
  const auto waited = [&](std::string_view route, std::int64_t left) {
    return estimator.EstimateWait(now, route, milliseconds{left}).count();
  };
  BOOST_TEST(waited("a", 2'500) == 0);
  BOOST_TEST(waited("a", 1'700) == 800);
  BOOST_TEST(waited("b", 400) == 0);
  BOOST_TEST(waited("a", 2'500) == 0);
}

// Load pattern: the deadlines of one route's callers differ by up to 15 %.
// First nobody is refused, then each first attempt is refused and retried, so
// that half of the requests are retries.
BOOST_AUTO_TEST_CASE(FirstAttemptWithShortDeadlineIsNoRetry) {
  caller_wait_estimator estimator;
  random_source random{3};
  time_point now{};
  const auto first_attempt_left = [&random] {
    return milliseconds{4'000 - static_cast<int>(random.Below(600))};
  };
  int mistaken_for_retries = 0;
  for (int count = 0; count < 400; ++count) {
    now += milliseconds{70};
    const auto waited = estimator.EstimateWait(now, "a", first_attempt_left());
    mistaken_for_retries += waited > milliseconds{60} ? 1 : 0;
  }
  BOOST_TEST(mistaken_for_retries < 20);
  mistaken_for_retries = 0;
  int mistaken_for_first_attempts = 0;
  for (int count = 0; count < 400; ++count) {
    now += milliseconds{70};
    const milliseconds left = first_attempt_left();
    mistaken_for_retries +=
        estimator.EstimateWait(now, "a", left) > milliseconds{60} ? 1 : 0;
    estimator.RecordRefusal(now, "a");
    const milliseconds retry_left = left - RetryAfterDelay(left, random);
    const milliseconds waited = estimator.EstimateWait(now, "a", retry_left);
    mistaken_for_first_attempts += waited < milliseconds{300} ? 1 : 0;
  }
  BOOST_TEST(mistaken_for_retries < 20);
  BOOST_TEST(mistaken_for_first_attempts < 40);
}

// Where all first attempts have the same deadline, a slightly shorter one shows
// that the caller has waited.
BOOST_AUTO_TEST_CASE(ShortWaitIsDetectedAmongEqualDeadlines) {
  caller_wait_estimator estimator;
  time_point now{};
  for (int count = 0; count < 400; ++count) {
    now += milliseconds{40};
    estimator.EstimateWait(now, "a", milliseconds{3'000});
  }
  estimator.RecordRefusal(now, "a");
  const auto waited = estimator.EstimateWait(now, "a", milliseconds{2'600});
  BOOST_TEST(waited.count() >= 390);
}

BOOST_AUTO_TEST_CASE(ReportedLoadRoundTripsThroughItsText) {
  const owner_load load{milliseconds{33}, milliseconds{521}, 18,
                        milliseconds{7}};
  const auto read = ParseLoad(FormatLoad(load));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->wait == load.wait && read->service == load.service));
  BOOST_TEST((read->slots == load.slots && read->held == load.held));
  for (const char* const malformed :
       {"", "1", "1 2 3", "1 2 3 ", "1 2 3 4 5", "1 2 3 -4", "1  2 3 4",
        "a 2 3 4", "1 2 3 4x", "1 2 3 99999999999999999999"}) {
    BOOST_TEST(!ParseLoad(malformed), malformed);
  }
}

// Twelve nodes with full budgets spend them at the same time.
BOOST_AUTO_TEST_CASE(NodesTogetherStayWithinFleetRetryLimits) {
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

// A retried request makes its calls again, which count at the service called.
BOOST_AUTO_TEST_CASE(RepeatedCallsAndRetriesStayWithinFleetRetryLimits) {
  constexpr int kNodes = 12;
  constexpr int kRequestsANode = 300;
  const fleet_retry_limits limits{0.2, 64};
  // One service calls the other as often as that one is asked in all.
  int repeated_calls = 0;
  int retries = 0;
  for (int node = 0; node < kNodes; ++node) {
    retry_budget calling;
    retry_budget called;
    calling.SetLimits(limits, kNodes);
    called.SetLimits(limits, kNodes);
    for (int count = 0; count < kRequestsANode; ++count) {
      calling.Earn(5.0);
      called.Earn(5.0);
      repeated_calls += calling.TrySpend() ? 1 : 0;
      retries += called.TrySpend() ? 1 : 0;
    }
  }
  BOOST_TEST(repeated_calls + retries <= 0.2 * kNodes * kRequestsANode + 64);
}

BOOST_AUTO_TEST_SUITE_END()
