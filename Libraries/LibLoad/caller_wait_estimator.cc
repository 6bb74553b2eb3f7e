#include "LibLoad/caller_wait_estimator.h"

#include <algorithm>

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;

/// The number of routes kept; one more clears them all.
constexpr std::size_t kMostRoutes = 4096;
/// The newest caller weighs 1/16 in the mean share.
constexpr double kUsualWeight = 16.0;
/// One first attempt in this many may be below the least share, and so be taken
/// for a retry. That error costs as much as a retry taken for a first attempt,
/// which is rarer.
constexpr double kImpatientDivisor = 32.0;
/// The change of the least share by one caller below it, nearly; one above it
/// adds the kImpatientDivisor-th part. Some hundred callers raise it by a
/// sixth.
constexpr double kLeastStep = 1.0 / 32.0;
constexpr double kSmallestLeastShare = 0.5;

}  // namespace

milliseconds caller_wait_estimator::EstimateWait(time_point now,
                                                 std::string_view route,
                                                 milliseconds left) {
  auto found = routes_.find(route);
  if (found == routes_.end()) {
    if (routes_.size() >= kMostRoutes) {
      routes_.clear();
    }
    found = routes_.emplace(route, route_patience{}).first;
  }
  route_patience& known = found->second;
  known.longest = std::max(known.longest, left);
  if (known.longest <= milliseconds::zero()) {
    return milliseconds::zero();
  }
  const double share = static_cast<double>(left.count()) /
                       static_cast<double>(known.longest.count());
  const double usual = known.usual_share.value_or(1.0);
  const double least = known.least_share;
  if (AreAllFresh(now, known)) {
    Learn(known, share);
  }
  if (share >= least || share >= usual) {
    return milliseconds::zero();
  }
  return std::chrono::round<milliseconds>(known.longest * (usual - share));
}

void caller_wait_estimator::RecordRefusal(time_point now,
                                          std::string_view route) {
  if (const auto found = routes_.find(route); found != routes_.end()) {
    found->second.turned_away_at = now;
  }
}

bool caller_wait_estimator::AreAllFresh(time_point now,
                                        const route_patience& known) {
  return !known.turned_away_at || now - *known.turned_away_at > known.longest;
}

// The least share tracks a low quantile of the shares: a caller above raises it
// a little, one below lowers it much more.
void caller_wait_estimator::Learn(route_patience& known, double share) {
  const double before = known.usual_share.value_or(share);
  known.usual_share = before + (share - before) / kUsualWeight;
  const double step = share < known.least_share
                          ? -kLeastStep * (1.0 - 1.0 / kImpatientDivisor)
                          : kLeastStep / kImpatientDivisor;
  known.least_share =
      std::clamp(known.least_share + step, kSmallestLeastShare, 1.0);
}

}  // namespace wagtailmount
