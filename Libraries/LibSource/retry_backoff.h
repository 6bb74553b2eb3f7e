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
    longest_ =
        std::clamp<duration>(static_cast<std::int64_t>(fleet_size) * kWaitPerVm,
                             kShortestMaximum, kLongestMaximum);
  }

  /// The delay before the next retry; counts one more failure.
  duration NextWait(random_source& random) {
    const duration wait =
        std::min(kFirstWait * (std::int64_t{1} << failures_), longest_);
    failures_ = std::min(failures_ + 1, kMostDoublings);
    return std::chrono::duration_cast<duration>(wait *
                                                (0.5 + random.Fraction()));
  }

  void Reset() { failures_ = 0; }

 private:
  static constexpr duration kFirstWait = std::chrono::milliseconds{500};
  static constexpr duration kShortestMaximum = std::chrono::seconds{10};
  static constexpr duration kLongestMaximum = std::chrono::seconds{60};
  static constexpr duration kWaitPerVm = std::chrono::milliseconds{2};
  static constexpr unsigned kMostDoublings = 10;

  duration longest_ = kShortestMaximum;
  unsigned failures_ = 0;
};

}  // namespace wagtailmount
