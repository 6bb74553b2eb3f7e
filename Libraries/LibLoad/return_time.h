#pragma once

#include <chrono>

#include "LibBase/clock.h"
#include "LibBase/random.h"

namespace wagtailmount {

/// When a caller who was refused should come back, if it has `left`: an owner
/// refuses only when the answer would lose its full worth, so coming back soon
/// gains nothing; the later, the likelier is room. Spread, so that those who
/// were refused together don't return together. Zero when coming back makes no
/// sense.
///
/// Answers the load patterns of a clump and of a burst of some seconds.
std::chrono::milliseconds ReturnAfter(duration left, random_source& random);

/// When a caller should come back whom a backend server refused although its
/// owner had room: another try is as likely to be taken as any, so soon enough
/// for its answer to be on time. As ReturnAfter() when nothing is left of the
/// objective.
///
/// Answers the load pattern of upstreams that refuse a part of their requests
/// while they are healthy.
std::chrono::milliseconds ReturnSoon(duration left, duration objective_left,
                                     random_source& random);

}  // namespace wagtailmount
