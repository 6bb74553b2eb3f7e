#include "LibLoad/retry_after_delay.h"

#include <algorithm>
#include <cstdint>

namespace wagtailmount {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// The platform documents that callers honour a Retry-After of at most a third
/// of the time they have left.
constexpr int kHonouredDivisor = 3;
/// After a shorter delay, the load that caused the refusal is still there.
constexpr milliseconds kMinDelay{40};
constexpr milliseconds kMaxDelay{2'000};
/// An early retry comes within half of the time left until the objective. The
/// other half is for running it: objectives are some two to three times the
/// usual service time.
constexpr int kEarlyDelayDivisor = 2;

milliseconds RandomBetween(milliseconds min_delay, milliseconds max_delay,
                           random_source& random) {
  const auto spread =
      static_cast<std::uint64_t>((max_delay - min_delay).count());
  return min_delay + milliseconds{random.Below(spread + 1)};
}

}  // namespace

milliseconds RetryAfterDelay(duration left, random_source& random) {
  const milliseconds max_delay =
      std::min(duration_cast<milliseconds>(left) / kHonouredDivisor, kMaxDelay);
  if (max_delay <= kMinDelay) {
    return milliseconds{0};
  }
  return RandomBetween(std::max(kMinDelay, max_delay / 2), max_delay, random);
}

milliseconds EarlyRetryAfterDelay(duration left, duration objective_left,
                                  random_source& random) {
  const milliseconds max_delay = std::min(
      duration_cast<milliseconds>(left) / kHonouredDivisor,
      duration_cast<milliseconds>(objective_left) / kEarlyDelayDivisor);
  return max_delay <= kMinDelay ? RetryAfterDelay(left, random)
                                : RandomBetween(kMinDelay, max_delay, random);
}

}  // namespace wagtailmount
