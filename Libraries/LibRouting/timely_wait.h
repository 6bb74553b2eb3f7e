#pragma once

#include "LibBase/clock.h"

namespace wagtailmount {

/// Returns the longest queue wait after which a request with the mean service
/// time `service_time` most likely still meets an objective that ends after
/// `objective_left`. Negative if it is unlikely to meet it even without a wait.
/// Owners admit requests by this limit, and other nodes use it to predict which
/// owners would refuse.
///
/// This covers a lasting overload: a short queue keeps the slots as busy as a
/// long one, but behind a long queue, requests that take longer than the mean
/// are answered too late.
duration TimelyWait(duration objective_left, duration service_time);

}  // namespace wagtailmount
