#include "LibRouting/timely_wait.h"

#include <algorithm>

namespace wagtailmount {

namespace {

/// Service times to plan for, in quarters of the mean service time. A request
/// is started only if a long service (5/4) still meets the objective, and may
/// wait for all the time that a very long one (6/4) leaves. With a spread of
/// 0.3, three in four requests take less than 5/4 of the mean, and nine in ten
/// less than 6/4.
constexpr int kLongServiceQuarters = 5;
constexpr int kVeryLongServiceQuarters = 6;
constexpr int kQuarters = 4;
/// A request may always wait for this part, as a divisor, of the time that a
/// long service leaves: without any queue, slots would idle between requests.
constexpr int kLeastQueueDivisor = 2;

}  // namespace

duration TimelyWait(duration objective_left, duration service_time) {
  const duration after_long =
      objective_left - service_time * kLongServiceQuarters / kQuarters;
  const duration after_very_long =
      objective_left - service_time * kVeryLongServiceQuarters / kQuarters;
  return std::max(after_very_long, after_long / kLeastQueueDivisor);
}

}  // namespace wagtailmount
