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
/// Sooner than that, the load that refused it is still there.
constexpr milliseconds kSoonest{40};
constexpr milliseconds kLatest{2'000};
/// The other part of the objective is left for the work. Source: objectives are
/// some two to three times the usual work.
constexpr int kSoonDivisor = 2;

milliseconds Between(milliseconds soonest, milliseconds latest,
                     random_source& random) {
  const auto spread = static_cast<std::uint64_t>((latest - soonest).count());
  return soonest + milliseconds{random.Below(spread + 1)};
}

}  // namespace

milliseconds ReturnAfter(duration left, random_source& random) {
  const milliseconds latest =
      std::min(duration_cast<milliseconds>(left) / kHonouredDivisor, kLatest);
  if (latest <= kSoonest) {
    return milliseconds{0};
  }
  return Between(std::max(kSoonest, latest / 2), latest, random);
}

milliseconds ReturnSoon(duration left, duration objective_left,
                        random_source& random) {
  const milliseconds latest =
      std::min(duration_cast<milliseconds>(left) / kHonouredDivisor,
               duration_cast<milliseconds>(objective_left) / kSoonDivisor);
  return latest <= kSoonest ? ReturnAfter(left, random)
                            : Between(kSoonest, latest, random);
}

}  // namespace wagtailmount
