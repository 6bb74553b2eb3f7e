#pragma once

#include <chrono>

#include "LibBase/clock.h"
#include "LibBase/random.h"

namespace wagtailmount {

/// When a caller who was refused should come back: soon enough that its answer
/// can still be of use, and spread, so that those who were refused together
/// don't return together. `left` is the time that the caller has, `objective`
/// what is left until an answer loses its full worth; 0 or less when that is
/// over. Zero when coming back makes no sense.
///
/// Answers the load pattern of a clump: many requests at one moment, room for
/// all of them within the next.
std::chrono::milliseconds ReturnAfter(duration left, duration objective,
                                      random_source& random);

}  // namespace wagtailmount
