#include "LibLoad/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace wagtailmount {

namespace {

/// Requests a second. One each 4 s finds out whether a limit of zero, or near
/// it, has been lifted.
constexpr double kMinimumRate = 0.25;
/// Tokens are kept for this long, in seconds, so that requests which arrive
/// unevenly can use the whole rate.
constexpr double kBurstSeconds = 0.25;
/// Makes up for rounding, so that a token is there when TimeUntil() says so.
constexpr double kRoundingTolerance = 1e-6;

}  // namespace

double rate_limiter::Capacity() const {
  return std::max(1.0, *rate_ * kBurstSeconds);
}

double rate_limiter::TokensAt(time_point now) const {
  const double refilled = SecondsOf(now - refilled_at_) * *rate_;
  return std::min(Capacity(), tokens_ + std::max(0.0, refilled));
}

void rate_limiter::SetRate(time_point now,
                           std::optional<double> requests_a_second) {
  const double kept = rate_ ? TokensAt(now) : 0.0;
  rate_ = requests_a_second;
  if (rate_) {
    rate_ = std::max(*rate_, kMinimumRate);
    tokens_ = std::min(kept, Capacity());
    refilled_at_ = now;
  }
}

bool rate_limiter::TryTake(time_point now) {
  if (!rate_) {
    return true;
  }
  tokens_ = TokensAt(now);
  refilled_at_ = now;
  if (tokens_ + kRoundingTolerance < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

void rate_limiter::Return() {
  if (rate_) {
    tokens_ = std::min(Capacity(), tokens_ + 1.0);
  }
}

duration rate_limiter::TimeUntil(time_point now, std::size_t count) const {
  if (!rate_) {
    return duration::zero();
  }
  const double missing = static_cast<double>(count) - TokensAt(now);
  const double seconds = std::max(0.0, missing) / *rate_;
  return duration{static_cast<duration::rep>(
      std::ceil(seconds * static_cast<double>(duration::period::den)))};
}

}  // namespace wagtailmount
