#include "LibLoad/start_check.h"

namespace wagtailmount {

refusal_cause CauseNotToStart(time_point now,
                              const start_conditions& conditions) {
  if (conditions.has_requester_left) {
    return refusal_cause::kAbandoned;
  }
  if (now >= conditions.deadline) {
    return refusal_cause::kTooLate;
  }
  // Unlike one that leaves, an evacuated backend server takes nothing more.
  if (conditions.is_evacuated) {
    return refusal_cause::kEvacuated;
  }
  const bool is_leaving = conditions.leaving_since != time_point{};
  if (is_leaving && now - conditions.leaving_since > kLeavingGracePeriod) {
    return refusal_cause::kDraining;
  }
  return refusal_cause::kNone;
}

}  // namespace wagtailmount
