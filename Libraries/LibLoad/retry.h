#pragma once

#include <string_view>

#include "LibConfig/configuration.h"
#include "LibLoad/attempt_outcome.h"
#include "LibRouting/verdict.h"

namespace wagtailmount {

/// Whether running a request of `method` twice has the same effect as running
/// it once: by the route's setting, or by the method (RFC 9110, 9.2.2).
bool IsIdempotent(idempotency route_setting, std::string_view method);

/// What one attempt proves about the request, and whether a retry is allowed.
struct attempt_classification {
  verdict proved = verdict::kMayHaveRun;
  bool may_try_again = false;  ///< It can't cause an unwanted second run.
  refusal_cause cause = refusal_cause::kNone;  ///< Sent if not retried.
};

/// Classifies an attempt that ended in `outcome`; `reported_cause` is the cause
/// that came with a refusal.
attempt_classification ClassifyAttempt(attempt_outcome outcome,
                                       refusal_cause reported_cause,
                                       bool is_idempotent);

}  // namespace wagtailmount
