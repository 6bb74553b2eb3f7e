#pragma once

#include <string_view>

#include "LibConfig/configuration.h"
#include "LibLoad/attempt_outcome.h"
#include "LibRouting/verdict.h"

namespace wagtailmount {

/// Whether running a request of `method` twice has the effect of running it
/// once, by the route's word or by the method (RFC 9110, 9.2.2).
bool IsIdempotent(idempotency repeatable, std::string_view method);

/// What one attempt proves, and what may follow it.
struct attempt_judgement {
  verdict proved = verdict::kMayHaveRun;
  bool may_try_again = false;  ///< As far as doubled runs are concerned.
  refusal_cause cause = refusal_cause::kNone;  ///< Told when given up on.
};

/// Judges an attempt that ended in `outcome`; `told` is the cause that a
/// refusal carried.
attempt_judgement Judge(attempt_outcome outcome, refusal_cause told,
                        bool is_idempotent);

}  // namespace wagtailmount
