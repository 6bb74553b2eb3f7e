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

}  // namespace wagtailmount
