#pragma once

#include <cstddef>

#include "LibBase/clock.h"

namespace wagtailmount {

/// What speaks for sending a request to a farther upstream instead of a near
/// one.
struct distant_offer {
  duration near_time{};  ///< Until the answer is expected from the near one.
  duration far_time{};   ///< The like from the farther one.
  /// How long until the answer loses its full worth; positive.
  duration objective_left{};
  double near_failing = 0.0;  ///< Share of attempts there that fail.
  double far_failing = 0.0;
  /// What request and answer together are expected to carry over the way.
  std::size_t bytes = 0;
  bool leaves_region = false;
};

/// How likely, from 0 to 1, an answer that is expected after `expected` comes
/// after the objective.
double ChanceOfLateness(duration expected, duration objective_left);

/// Whether the better chance of a good and timely answer is worth the bytes. A
/// short answer goes the way early and leaves the near upstream to the long
/// ones.
///
/// Answers the load pattern of a failure domain whose one upstream is too slow
/// for its callers: a part of the work must leave, and it should be the part
/// that is small.
bool IsWorthItsBytes(const distant_offer& offer);

}  // namespace wagtailmount
