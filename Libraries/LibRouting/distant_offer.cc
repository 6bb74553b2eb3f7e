#include "LibRouting/distant_offer.h"

#include <algorithm>

namespace wagtailmount {

namespace {

// While the expected time grows from the first to the second share of the
// remaining objective, the probability of a late answer rises from 0 to 1.
// Durations vary by a third to a half around their mean.
constexpr double kSurelyOnTime = 0.6;
constexpr double kSurelyLate = 1.3;
// The gain in the probability of a good answer that justifies one KiB of
// traffic between failure domains. Follows from the users' price of traffic and
// the value that a late answer still has.
constexpr double kGainForKilobyte = 0.2;
// A larger gain justifies a message of any size.
constexpr double kMostGainAsked = 0.6;
// Traffic between regions takes longer and costs more.
constexpr double kRegionFactor = 3.0;
constexpr double kBytesInKilobyte = 1024.0;

}  // namespace

double ChanceOfLateness(duration expected, duration objective_left) {
  if (objective_left <= duration::zero()) {
    return 1.0;
  }
  const double part = SecondsOf(expected) / SecondsOf(objective_left);
  return std::clamp((part - kSurelyOnTime) / (kSurelyLate - kSurelyOnTime), 0.0,
                    1.0);
}

bool IsWorthItsBytes(const distant_offer& offer) {
  const auto chance_of_good = [&](duration expected, double failing) {
    return (1.0 - failing) *
           (1.0 - ChanceOfLateness(expected, offer.objective_left));
  };
  const double gain = chance_of_good(offer.far_time, offer.far_failing) -
                      chance_of_good(offer.near_time, offer.near_failing);
  const double for_bytes = kGainForKilobyte * static_cast<double>(offer.bytes) /
                           kBytesInKilobyte *
                           (offer.leaves_region ? kRegionFactor : 1.0);
  return gain > std::min(for_bytes, kMostGainAsked);
}

}  // namespace wagtailmount
