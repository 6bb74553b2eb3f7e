#pragma once

#include <cstddef>
#include <optional>

#include "LibBase/clock.h"

namespace wagtailmount {

/// Limits how many requests start in a second: a token bucket. Without a rate
/// it limits nothing.
class rate_limiter {
 public:
  /// Sets the rate in requests a second; none lifts the limit. A new limit
  /// starts with an empty bucket, for the requests that started before it was
  /// known are running.
  void SetRate(time_point now, std::optional<double> requests_a_second);

  /// The rate that applies; see kMinimumRate.
  std::optional<double> Rate() const { return rate_; }

  /// Takes a token for one start; false if there is none yet.
  bool TryTake(time_point now);

  /// Gives back the token of a start that was called off.
  void Return();

  /// How long it takes until `count` tokens, at least 1, have been there; zero
  /// without a rate.
  duration TimeUntil(time_point now, std::size_t count) const;

 private:
  double TokensAt(time_point now) const;
  double Capacity() const;

  std::optional<double> rate_;
  double tokens_ = 0.0;  ///< At refilled_at_.
  time_point refilled_at_{};
};

}  // namespace wagtailmount
