#include <boost/test/unit_test.hpp>

#include "LibLoad/retry.h"
#include "LibLoad/retry_budget.h"

using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_SUITE(retry_suite)

BOOST_AUTO_TEST_CASE(EachOutcomeDeterminesVerdictAndRetry) {
  struct row {
    attempt_outcome outcome;
    refusal_cause reported;
    verdict proved;
    bool again_if_idempotent;
    bool again_otherwise;
    std::string_view reason;
  };
  using out = attempt_outcome;
  using why = refusal_cause;
  const auto no = verdict::kNotRun;
  const auto may = verdict::kMayHaveRun;
  const row rows[] = {
      {out::kAnswered, why::kNone, verdict::kRan, false, false, "none"},
      {out::kConnectFailed, why::kNone, no, true, true, "unreachable"},
      {out::kClosedBeforeFirstByte, why::kNone, no, true, true, "unreachable"},
      {out::kLostWhileWriting, why::kNone, may, true, false, "connection-lost"},
      {out::kLostAfterWriting, why::kNone, may, true, false, "connection-lost"},
      {out::kAnswerTruncated, why::kNone, may, true, false, "truncated-answer"},
      {out::kAnswerMalformed, why::kNone, may, true, false, "malformed-answer"},
      {out::kIdMismatch, why::kNone, may, true, false, "mismatched-answer"},
      {out::kNoAnswerInTime, why::kNone, may, false, false, "deadline"},
      {out::kRefusedNotRun, why::kShed, no, true, true, "shed"},
      {out::kRefusedNotRun, why::kDraining, no, true, true, "draining"},
      {out::kRefusedNotRun, why::kQueueFull, no, true, true, "queue-full"},
      {out::kRefusedNotRun, why::kWrongOwner, no, true, true, "wrong-owner"},
      {out::kRefusedNotRun, why::kTooLate, no, false, false, "too-late"},
      {out::kRefusedNotRun, why::kAbandoned, no, false, false, "abandoned"},
      {out::kRefusedMayHaveRun, why::kConnectionLost, may, true, false,
       "connection-lost"},
      {out::kRefusedMayHaveRun, why::kDeadline, may, false, false, "deadline"},
      {out::kRefusedMayHaveRun, why::kUnknown, may, true, false, "unknown"},
      {out::kBodyLost, why::kNone, may, false, false, "body-lost"},
  };
  for (const row& each : rows) {
    BOOST_TEST_CONTEXT(NameOf(each.outcome) << ", " << NameOf(each.reported)) {
      const auto idempotent =
          ClassifyAttempt(each.outcome, each.reported, true);
      const auto not_idempotent =
          ClassifyAttempt(each.outcome, each.reported, false);
      BOOST_TEST(NameOf(idempotent.proved) == NameOf(each.proved));
      BOOST_TEST(NameOf(not_idempotent.proved) == NameOf(each.proved));
      BOOST_TEST(idempotent.may_try_again == each.again_if_idempotent);
      BOOST_TEST(not_idempotent.may_try_again == each.again_otherwise);
      BOOST_TEST(NameOf(not_idempotent.cause) == each.reason);
    }
  }
}

BOOST_AUTO_TEST_CASE(IdempotenceFollowsRouteSettingOrMethod) {
  for (const char* method : {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"}) {
    BOOST_TEST(IsIdempotent(idempotency::kByMethod, method));
    BOOST_TEST(!IsIdempotent(idempotency::kNever, method));
  }
  for (const char* method : {"POST", "PATCH", "get", "UNHEARD-OF", ""}) {
    BOOST_TEST(!IsIdempotent(idempotency::kByMethod, method));
    BOOST_TEST(IsIdempotent(idempotency::kAlways, method));
  }
}

BOOST_AUTO_TEST_CASE(RefusalCausesRoundTripThroughTheirNames) {
  for (int value = 0; value <= static_cast<int>(refusal_cause::kUnknown);
       ++value) {
    const auto cause = static_cast<refusal_cause>(value);
    BOOST_TEST((CauseOf(NameOf(cause)) == cause));
  }
  BOOST_TEST((CauseOf("unheard-of") == refusal_cause::kUnknown));
}

BOOST_AUTO_TEST_CASE(RetriesAreBoundedByAShareOfRequests) {
  retry_budget budget;
  int retries = 0;
  for (int request = 0; request < 10'000; ++request) {
    budget.Earn(0.1);
    retries += budget.TrySpend() ? 1 : 0;
  }
  BOOST_TEST(retries <= 1'000 + 10);
  BOOST_TEST(retries >= 1'000);
}

BOOST_AUTO_TEST_CASE(UnusedRetryBudgetIsCapped) {
  retry_budget budget;
  for (int request = 0; request < 10'000; ++request) {
    budget.Earn(0.1);
  }
  int retries = 0;
  while (budget.TrySpend()) {
    ++retries;
  }
  BOOST_TEST(retries <= 20);
}

BOOST_AUTO_TEST_SUITE_END()
