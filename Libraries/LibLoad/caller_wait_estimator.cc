#include "LibLoad/caller_wait_estimator.h"

#include <algorithm>

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;

/// The number of routes kept; one more clears them all.
constexpr std::size_t kMaxRoutes = 4096;
/// The newest caller weighs 1/16 in the mean share.
constexpr double kMeanShareDivisor = 16.0;
/// One first attempt in this many may be below the minimum share, and so be
/// taken for a retry. That error costs as much as a retry taken for a first
/// attempt, which is rarer.
constexpr double kBelowMinShareDivisor = 32.0;
/// Scales how far one first attempt moves the minimum share. It takes some
/// hundred of them to raise it by a sixth.
constexpr double kMinShareStep = 1.0 / 32.0;
constexpr double kLowestMinShare = 0.5;

}  // namespace

milliseconds caller_wait_estimator::EstimateWait(time_point now,
                                                 std::string_view route,
                                                 milliseconds left) {
  auto found = routes_.find(route);
  if (found == routes_.end()) {
    if (routes_.size() >= kMaxRoutes) {
      routes_.clear();
    }
    found = routes_.emplace(route, route_deadlines{}).first;
  }
  route_deadlines& known = found->second;
  known.longest_left = std::max(known.longest_left, left);
  if (known.longest_left <= milliseconds::zero()) {
    return milliseconds::zero();
  }
  const double share = static_cast<double>(left.count()) /
                       static_cast<double>(known.longest_left.count());
  const double mean = known.mean_share.value_or(1.0);
  const double min_share = known.min_share;
  if (AreAllFirstAttempts(now, known)) {
    UpdateShares(known, share);
  }
  if (share >= min_share || share >= mean) {
    return milliseconds::zero();
  }
  return std::chrono::round<milliseconds>(known.longest_left * (mean - share));
}

void caller_wait_estimator::RecordRefusal(time_point now,
                                          std::string_view route) {
  if (const auto found = routes_.find(route); found != routes_.end()) {
    found->second.last_refusal = now;
  }
}

bool caller_wait_estimator::AreAllFirstAttempts(time_point now,
                                                const route_deadlines& known) {
  return !known.last_refusal || now - *known.last_refusal > known.longest_left;
}

// The minimum share tracks a low quantile of the shares: a caller above raises
// it a little, one below lowers it much more.
void caller_wait_estimator::UpdateShares(route_deadlines& known, double share) {
  const double previous_mean = known.mean_share.value_or(share);
  known.mean_share =
      previous_mean + (share - previous_mean) / kMeanShareDivisor;
  const double step = share < known.min_share
                          ? -kMinShareStep * (1.0 - 1.0 / kBelowMinShareDivisor)
                          : kMinShareStep / kBelowMinShareDivisor;
  known.min_share = std::clamp(known.min_share + step, kLowestMinShare, 1.0);
}

}  // namespace wagtailmount
