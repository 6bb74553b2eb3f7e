#include "LibLoad/retry.h"

#include <algorithm>
#include <array>

namespace wagtailmount {

namespace {

struct outcome_entry {
  attempt_outcome outcome;
  verdict proved;
  refusal_cause cause;  ///< kNone: the one that came with the refusal.
  bool is_worth_retrying;
};

// One row for each outcome, in the order of the enumerators. A request that has
// certainly not run may be retried whatever its method; one that may have run,
// only if it is idempotent.
constexpr std::array<outcome_entry, 12> kOutcomes{{
    {attempt_outcome::kAnswered, verdict::kRan, refusal_cause::kNone, false},
    {attempt_outcome::kConnectFailed, verdict::kNotRun,
     refusal_cause::kUnreachable, true},
    {attempt_outcome::kClosedBeforeFirstByte, verdict::kNotRun,
     refusal_cause::kUnreachable, true},
    {attempt_outcome::kLostWhileWriting, verdict::kMayHaveRun,
     refusal_cause::kConnectionLost, true},
    {attempt_outcome::kLostAfterWriting, verdict::kMayHaveRun,
     refusal_cause::kConnectionLost, true},
    {attempt_outcome::kAnswerTruncated, verdict::kMayHaveRun,
     refusal_cause::kTruncatedAnswer, true},
    {attempt_outcome::kAnswerMalformed, verdict::kMayHaveRun,
     refusal_cause::kMalformedAnswer, true},
    {attempt_outcome::kIdMismatch, verdict::kMayHaveRun,
     refusal_cause::kMismatchedAnswer, true},
    {attempt_outcome::kNoAnswerInTime, verdict::kMayHaveRun,
     refusal_cause::kDeadline, false},
    {attempt_outcome::kRefusedNotRun, verdict::kNotRun, refusal_cause::kNone,
     true},
    {attempt_outcome::kRefusedMayHaveRun, verdict::kMayHaveRun,
     refusal_cause::kNone, true},
    {attempt_outcome::kBodyLost, verdict::kMayHaveRun, refusal_cause::kBodyLost,
     false},
}};

constexpr std::array<std::string_view, 6> kIdempotentMethods{
    "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};

// After the deadline, without a requester, or for a request that crashes what
// runs it, another attempt is of no use.
bool RulesOutRetry(refusal_cause reported_cause) {
  return reported_cause == refusal_cause::kTooLate ||
         reported_cause == refusal_cause::kAbandoned ||
         reported_cause == refusal_cause::kDeadline ||
         reported_cause == refusal_cause::kQuarantined;
}

}  // namespace

bool IsIdempotent(idempotency route_setting, std::string_view method) {
  switch (route_setting) {
    case idempotency::kAlways:
      return true;
    case idempotency::kNever:
      return false;
    case idempotency::kByMethod:
      break;
  }
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                   method) != kIdempotentMethods.end();
}

attempt_classification ClassifyAttempt(attempt_outcome outcome,
                                       refusal_cause reported_cause,
                                       bool is_idempotent) {
  const outcome_entry& entry = kOutcomes[static_cast<std::size_t>(outcome)];
  const bool uses_reported_cause = entry.cause == refusal_cause::kNone;
  const bool is_safe = entry.proved == verdict::kNotRun || is_idempotent;
  const bool rules_out_retry =
      uses_reported_cause && RulesOutRetry(reported_cause);
  return {entry.proved, entry.is_worth_retrying && is_safe && !rules_out_retry,
          uses_reported_cause ? reported_cause : entry.cause};
}

}  // namespace wagtailmount
