#include "LibLoad/return_time.h"

#include <algorithm>
#include <cstdint>

namespace wagtailmount {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Callers honour at most that part of the time they have left. Source: the
/// platform's word on Retry-After.
constexpr int kHonouredDivisor = 3;
/// A request that still can be on time comes back within that part of it.
constexpr int kObjectiveDivisor = 3;
/// Sooner than that, the load that refused it is still there.
constexpr milliseconds kSoonest{40};
/// Later than that, the wait by itself costs the caller more than it saves.
constexpr milliseconds kLatest{1'000};

}  // namespace

milliseconds ReturnAfter(duration left, duration objective,
                         random_source& random) {
  milliseconds latest = std::min(
      duration_cast<milliseconds>(left) / kHonouredDivisor, kLatest);
  if (objective > duration::zero()) {
    latest = std::min(latest,
                      std::max(2 * kSoonest, duration_cast<milliseconds>(
                                                 objective) /
                                                 kObjectiveDivisor));
  }
  if (latest <= kSoonest) {
    return milliseconds{0};
  }
  const auto spread = static_cast<std::uint64_t>((latest - kSoonest).count());
  return kSoonest + milliseconds{random.Below(spread + 1)};
}

}  // namespace wagtailmount
