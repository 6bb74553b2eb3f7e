#include "LibLoad/start_limits.h"

#include <algorithm>
#include <cmath>

namespace wagtailmount {

std::optional<std::size_t> MostColdStarts(double requests_a_second,
                                          double overage, double slack) {
  if (requests_a_second <= 0.0) {
    return std::nullopt;
  }
  const double allowed = std::floor(requests_a_second * overage + slack);
  return static_cast<std::size_t>(std::max(1.0, allowed - 1.0));
}

void start_limits::SetMostCold(std::optional<std::size_t> most,
                               time_point unknown_until) {
  const bool is_first = most && !window_.Most();
  window_.SetMost(most);
  if (is_first) {
    window_.FillUp(unknown_until);
  }
}

std::optional<double> start_limits::Rate() const {
  std::optional<double> lowest = rate_.Rate();
  if (window_.IsBinding()) {
    const double cold =
        static_cast<double>(*window_.Most()) / SecondsOf(kStartWindow);
    lowest = std::min(lowest.value_or(cold), cold);
  }
  return lowest;
}

bool start_limits::TryTake(time_point now) {
  if (!window_.HasRoom(now) || !rate_.TryTake(now)) {
    return false;
  }
  window_.Reserve();
  return true;
}

void start_limits::Return() {
  rate_.Return();
  window_.Return();
}

duration start_limits::TimeUntil(time_point now, std::size_t count) const {
  return std::max(rate_.TimeUntil(now, count), window_.TimeUntil(now, count));
}

}  // namespace wagtailmount
