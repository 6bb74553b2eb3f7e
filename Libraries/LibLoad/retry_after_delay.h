#pragma once

#include <chrono>

#include "LibBase/clock.h"
#include "LibBase/random.h"

namespace wagtailmount {

/// Returns the delay after which a refused caller should retry if `left`
/// remains until its deadline; zero if a retry is of no use. An owner refuses a
/// request only when its answer would miss its objective, so an early retry
/// gains nothing, and a later one is likelier to get a slot. The delay is
/// random, so that callers refused together don't retry together.
///
/// Handles many simultaneous requests, and bursts of a few seconds.
std::chrono::milliseconds RetryAfterDelay(duration left, random_source& random);

/// Returns the delay after which a caller should retry that a backend server
/// refused although its owner had a slot for it. Any other attempt is as likely
/// to be accepted, so the delay is short enough for the answer to meet its
/// objective. Falls back to RetryAfterDelay() if too little is left of either
/// time.
///
/// Handles upstreams that refuse a part of their requests while healthy.
std::chrono::milliseconds EarlyRetryAfterDelay(duration left,
                                               duration objective_left,
                                               random_source& random);

}  // namespace wagtailmount
