#include "LibLoad/attempt_outcome.h"

#include <algorithm>
#include <array>

namespace wagtailmount {

namespace {

constexpr unsigned kNotFound = 404;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

struct cause_entry {
  refusal_cause cause;
  std::string_view name;
  unsigned status;
  bool is_caller_retry_useful;
};

constexpr std::array<cause_entry, 23> kCauses{{
    {refusal_cause::kNone, "none", kUnavailable, false},
    {refusal_cause::kNoConfiguration, "no-configuration", kUnavailable, true},
    {refusal_cause::kDraining, "draining", kUnavailable, true},
    {refusal_cause::kNoRoute, "no-route", kNotFound, false},
    {refusal_cause::kNoUpstream, "no-upstream", kUnavailable, true},
    {refusal_cause::kQueueFull, "queue-full", kUnavailable, true},
    {refusal_cause::kTooLate, "too-late", kGatewayTimeout, true},
    {refusal_cause::kShed, "shed", kUnavailable, true},
    {refusal_cause::kAbandoned, "abandoned", kUnavailable, false},
    {refusal_cause::kWrongOwner, "wrong-owner", kUnavailable, true},
    {refusal_cause::kUnreachable, "unreachable", kUnavailable, true},
    {refusal_cause::kConnectionLost, "connection-lost", kBadGateway, false},
    {refusal_cause::kDeadline, "deadline", kGatewayTimeout, false},
    {refusal_cause::kTruncatedAnswer, "truncated-answer", kBadGateway, false},
    {refusal_cause::kMalformedAnswer, "malformed-answer", kBadGateway, false},
    {refusal_cause::kMismatchedAnswer, "mismatched-answer", kBadGateway, false},
    {refusal_cause::kBodyLost, "body-lost", kBadRequest, false},
    {refusal_cause::kOverloaded, "overloaded", kUnavailable, true},
    {refusal_cause::kQuarantined, "quarantined", kBadGateway, false},
    {refusal_cause::kEvacuated, "evacuated", kUnavailable, true},
    {refusal_cause::kCold, "cold", kUnavailable, true},
    {refusal_cause::kCallsShort, "calls-short", kUnavailable, true},
    {refusal_cause::kUnknown, "unknown", kUnavailable, false},
}};

const cause_entry& EntryOf(refusal_cause cause) {
  return kCauses[static_cast<std::size_t>(cause)];
}

}  // namespace

std::string_view NameOf(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kAnswered:
      return "answered";
    case attempt_outcome::kConnectFailed:
      return "connect-failed";
    case attempt_outcome::kClosedBeforeFirstByte:
      return "closed-before-first-byte";
    case attempt_outcome::kLostWhileWriting:
      return "lost-while-writing";
    case attempt_outcome::kLostAfterWriting:
      return "lost-after-writing";
    case attempt_outcome::kAnswerTruncated:
      return "answer-truncated";
    case attempt_outcome::kAnswerMalformed:
      return "answer-malformed";
    case attempt_outcome::kIdMismatch:
      return "id-mismatch";
    case attempt_outcome::kNoAnswerInTime:
      return "no-answer-in-time";
    case attempt_outcome::kRefusedNotRun:
      return "refused-not-run";
    case attempt_outcome::kRefusedMayHaveRun:
      return "refused-may-have-run";
    case attempt_outcome::kBodyLost:
      return "body-lost";
  }
  return "unknown";
}

std::string_view NameOf(refusal_cause cause) { return EntryOf(cause).name; }

refusal_cause CauseOf(std::string_view name) {
  const auto* const found = std::find_if(
      kCauses.begin(), kCauses.end(),
      [&](const cause_entry& entry) { return entry.name == name; });
  return found == kCauses.end() ? refusal_cause::kUnknown : found->cause;
}

unsigned StatusOf(refusal_cause cause, verdict proved) {
  const unsigned status = EntryOf(cause).status;
  const bool suggests_a_run =
      status == kBadGateway || status == kGatewayTimeout;
  return suggests_a_run && proved == verdict::kNotRun ? kUnavailable : status;
}

bool IsCallerRetryUseful(refusal_cause cause) {
  return EntryOf(cause).is_caller_retry_useful;
}

}  // namespace wagtailmount
