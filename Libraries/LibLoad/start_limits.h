#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "LibBase/clock.h"
#include "LibLoad/rate_limiter.h"
#include "LibLoad/start_window.h"

namespace wagtailmount {

/// How many requests may be sent within kStartWindow to a cold backend server
/// that takes `requests_a_second`, exceeded by `overage` and `slack` at most;
/// none if it sets no limit. One below the number that is allowed in a second.
std::optional<std::size_t> MostColdStarts(double requests_a_second,
                                          double overage, double slack);

/// The limits on how many requests start at a backend server as time passes:
/// the rate that it names, and the window that applies while it is cold.
class start_limits {
 public:
  /// Sets the named rate; see rate_limiter::SetRate().
  void SetRate(time_point now, std::optional<double> requests_a_second) {
    rate_.SetRate(now, requests_a_second);
  }

  /// Sets the limit that applies while the backend server is cold. When it is
  /// first set, `unknown_until` is the last time at which starts may have
  /// happened that were not recorded here.
  void SetMostCold(std::optional<std::size_t> most, time_point unknown_until);
  void SetCold(bool is_cold) { window_.SetBinding(is_cold); }

  /// The lowest rate in requests a second that applies; none without a limit.
  std::optional<double> Rate() const;

  /// Takes the room for one start; false if there is none yet.
  bool TryTake(time_point now);

  /// Gives back the room of a start that was called off.
  void Return();

  /// Whether a start that had been taken may still be written, now; see
  /// start_window::TrySend().
  bool TrySend(time_point now) { return window_.TrySend(now); }

  /// States that a start that had been taken was written, at a time up to
  /// `now`.
  void RecordSent(time_point now) { window_.RecordSent(now); }

  /// How long it takes until `count` starts, at least 1, have had room.
  duration TimeUntil(time_point now, std::size_t count) const;

  /// Whether the next start waits because the backend server is cold.
  bool IsHeldByColdness(time_point now) const { return !window_.HasRoom(now); }

 private:
  rate_limiter rate_;
  start_window window_;
};

}  // namespace wagtailmount
