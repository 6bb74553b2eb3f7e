#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "LibBase/clock.h"
#include "LibBase/random.h"

namespace wagtailmount {

/// Exponential backoff with jitter. The delay doubles with each consecutive
/// failure and is multiplied by a random factor between 0.5 and 1.5, so that
/// nodes that failed together do not retry together.
class retry_backoff {
 public:
  /// The maximum delay grows with `fleet_size`, as more nodes may be retrying.
  explicit retry_backoff(std::size_t fleet_size) { SetFleetSize(fleet_size); }

  void SetFleetSize(std::size_t fleet_size) {
    maximum_wait_ = std::clamp<duration>(
        static_cast<std::int64_t>(fleet_size) * kMaximumWaitPerVm,
        kSmallestMaximumWait, kLargestMaximumWait);
  }

  /// The delay before the next retry; counts one more failure.
  duration NextWait(random_source& random) {
    const duration wait =
        std::min(kInitialWait * (std::int64_t{1} << failures_), maximum_wait_);
    failures_ = std::min(failures_ + 1, kMaximumDoublings);
    return std::chrono::duration_cast<duration>(wait *
                                                (0.5 + random.Fraction()));
  }

  void Reset() { failures_ = 0; }

 private:
  static constexpr duration kInitialWait = std::chrono::milliseconds{500};
  static constexpr duration kSmallestMaximumWait = std::chrono::seconds{10};
  static constexpr duration kLargestMaximumWait = std::chrono::seconds{60};
  static constexpr duration kMaximumWaitPerVm = std::chrono::milliseconds{2};
  static constexpr unsigned kMaximumDoublings = 10;

  duration maximum_wait_ = kSmallestMaximumWait;
  unsigned failures_ = 0;
};

}  // namespace wagtailmount
