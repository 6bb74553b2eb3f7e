#pragma once

#include <chrono>
#include <optional>

#include "LibBase/clock.h"

namespace wagtailmount::detail {

/// Estimates the monotonic clock of another node from the times that it states
/// in its answers. With it, a deadline is sent as
/// a point on that node's clock, so that the time which a request spends on a
/// full link, or unread in a stalled process, counts towards the deadline. No
/// common clock is needed.
///
/// The estimate is never ahead of the peer's clock: it is behind by the
/// shortest delay of an answer, so deadlines come early rather than late.
class peer_clock {
 public:
  /// Records that an answer which states `peer_time` was read at `now`.
  void Record(time_point now, std::chrono::milliseconds peer_time);

  /// Returns what the peer's clock shows at `at`; none before an answer.
  std::optional<std::chrono::milliseconds> PeerTimeAt(time_point at) const;

 private:
  std::optional<std::chrono::milliseconds> lead_;  ///< Peer's minus own clock.
  time_point lead_since_{};
};

/// Returns `at` as nodes state it to each other.
std::chrono::milliseconds StatedTime(time_point at);

}  // namespace wagtailmount::detail
