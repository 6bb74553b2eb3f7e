#pragma once

#include <cstdint>
#include <mutex>
#include <optional>

#include "LibBase/clock.h"

namespace wagtailmount {

/// When and how fast one body crosses the link of a VM.
struct body_transfer {
  time_point begin;
  time_point end;  ///< The next one begins then at the latest.
  std::uint64_t bytes_a_second = 0;  ///< 0: not bounded.
};

/// Decides when the large bodies of requests cross the inbound link of this
/// VM. They cross one after the other, each at a share of the link's rate, so
/// that small requests beside them never wait for more than one piece of one
/// body. Thread-safe.
///
/// Handles these load patterns:
/// - a burst of bodies above what the link carries: those that can arrive in
///   time wait for their turn, and the rest is refused before it is sent;
/// - a sender that stalls: its turn ends at the time set for it.
class body_schedule {
 public:
  /// `link_bytes_a_second` is the rate of the link; 0 if unknown, and then
  /// nothing is bounded.
  explicit body_schedule(std::uint64_t link_bytes_a_second)
      : bytes_a_second_(link_bytes_a_second * kBodyPercent / kPercent) {}

  /// Reserves the link for a body of `bytes`; nothing if it would begin after
  /// `latest_begin`, or not have arrived by `latest_end`.
  std::optional<body_transfer> Reserve(time_point now, std::uint64_t bytes,
                                       time_point latest_begin,
                                       time_point latest_end);

  /// Gives back what a transfer that ended early does not need.
  void Release(time_point now, const body_transfer& transfer);

 private:
  /// The rest of the link is left to small requests.
  static constexpr std::uint64_t kBodyPercent = 60;
  static constexpr std::uint64_t kPercent = 100;

  const std::uint64_t bytes_a_second_;
  std::mutex mutex_;
  time_point free_at_{};
};

/// How many bytes are sent at once at a bounded rate. What is sent at once
/// delays what comes after it on the link.
std::uint64_t PieceBytes(std::uint64_t bytes_a_second);

}  // namespace wagtailmount
