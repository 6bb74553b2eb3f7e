#include "LibLoad/retry_after_delay.h"

#include <algorithm>
#include <cstdint>

namespace wagtailmount {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Callers honour a Retry-After up to this part of the time they have left, as
/// the platform documents.
constexpr int kHonouredDivisor = 3;
/// Earlier than this, the load that caused the refusal is still there.
constexpr milliseconds kSoonest{40};
constexpr milliseconds kLatest{2'000};
/// An early retry comes within this part of the time left until the objective.
/// The rest is for running it: objectives are some two to three times the usual
/// service time.
constexpr int kSoonDivisor = 2;

milliseconds Between(milliseconds soonest, milliseconds latest,
                     random_source& random) {
  const auto spread = static_cast<std::uint64_t>((latest - soonest).count());
  return soonest + milliseconds{random.Below(spread + 1)};
}

}  // namespace

milliseconds RetryAfterDelay(duration left, random_source& random) {
  const milliseconds latest =
      std::min(duration_cast<milliseconds>(left) / kHonouredDivisor, kLatest);
  if (latest <= kSoonest) {
    return milliseconds{0};
  }
  return Between(std::max(kSoonest, latest / 2), latest, random);
}

milliseconds EarlyRetryAfterDelay(duration left, duration objective_left,
                                  random_source& random) {
  const milliseconds latest =
      std::min(duration_cast<milliseconds>(left) / kHonouredDivisor,
               duration_cast<milliseconds>(objective_left) / kSoonDivisor);
  return latest <= kSoonest ? RetryAfterDelay(left, random)
                            : Between(kSoonest, latest, random);
}

}  // namespace wagtailmount
