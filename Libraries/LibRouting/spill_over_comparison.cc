#include "LibRouting/spill_over_comparison.h"

#include <algorithm>

namespace wagtailmount {

namespace {

// As the expected time grows from the first to the second share of the time
// left until the objective, the probability of a late answer rises from 0 to 1.
// Durations vary by a third to a half around their mean.
constexpr double kCertainlyOnTimeShare = 0.6;
constexpr double kCertainlyLateShare = 1.3;
// The gain in the probability of a good answer that justifies one KiB of
// traffic between failure domains. Follows from the users' price of traffic and
// the value that a late answer still has.
constexpr double kGainPerKilobyte = 0.2;
// A larger gain justifies a message of any size.
constexpr double kMaxRequiredGain = 0.6;
// Traffic between regions takes longer and costs more.
constexpr double kRegionCostFactor = 3.0;
constexpr double kBytesInKilobyte = 1024.0;

}  // namespace

double LatenessProbability(duration expected, duration objective_left) {
  if (objective_left <= duration::zero()) {
    return 1.0;
  }
  const double share = SecondsOf(expected) / SecondsOf(objective_left);
  return std::clamp((share - kCertainlyOnTimeShare) /
                        (kCertainlyLateShare - kCertainlyOnTimeShare),
                    0.0, 1.0);
}

bool IsSpillOverWorthwhile(const spill_over_comparison& comparison) {
  const auto probability_of_good = [&](duration expected,
                                       double failure_share) {
    return (1.0 - failure_share) *
           (1.0 - LatenessProbability(expected, comparison.objective_left));
  };
  const double gain =
      probability_of_good(comparison.far_time, comparison.far_failure_share) -
      probability_of_good(comparison.near_time, comparison.near_failure_share);
  const double required_gain =
      kGainPerKilobyte * static_cast<double>(comparison.bytes) /
      kBytesInKilobyte * (comparison.crosses_region ? kRegionCostFactor : 1.0);
  return gain > std::min(required_gain, kMaxRequiredGain);
}

}  // namespace wagtailmount
