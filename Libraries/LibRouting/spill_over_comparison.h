#pragma once

#include <cstddef>

#include "LibBase/clock.h"

namespace wagtailmount {

/// Compares sending a request to a near upstream with sending it to a farther
/// one.
struct spill_over_comparison {
  duration near_time{};  ///< Expected time to the near one's answer.
  duration far_time{};   ///< Expected time to the farther one's answer.
  /// Time until the request misses its latency objective; positive.
  duration objective_left{};
  double near_failure_share = 0.0;  ///< Share of attempts that fail, 0 to 1.
  double far_failure_share = 0.0;
  /// Expected size of request and answer together, in bytes.
  std::size_t bytes = 0;
  bool crosses_region = false;
};

/// Returns the probability, 0 to 1, that an answer expected after `expected`
/// misses an objective that ends after `objective_left`.
double LatenessProbability(duration expected, duration objective_left);

/// Returns whether the farther upstream is enough more likely to give a good
/// answer in time to justify sending the bytes there. The gain that is required
/// grows with the size, so small messages move first and large ones stay near.
///
/// This covers a failure domain whose only upstream is too slow for its
/// callers: part of the requests must go elsewhere, and the smallest cost least
/// to move.
bool IsSpillOverWorthwhile(const spill_over_comparison& comparison);

}  // namespace wagtailmount
