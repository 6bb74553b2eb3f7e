#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "LibReport/sample_round.h"

namespace wagtailmount {

/// How far the counters of all answering nodes rose from one round to the next.
/// A node that was silent in between counts in the round in which it answers
/// again.
struct round_increase {
  std::int64_t begin_unix_ms = 0;
  std::int64_t end_unix_ms = 0;
  std::vector<service_counters> services;  ///< In name order.
  std::uint64_t changes = 0;
  std::uint64_t late_changes = 0;
  std::uint64_t control_bytes = 0;
  std::uint32_t restarts = 0;  ///< Nodes whose counters began at zero again.
  std::uint32_t nodes = 0;     ///< Nodes that were counted.
};

/// One increase for each round after the first. A node that restarted counts
/// from zero: what it counted between its last answer and its stop is lost and
/// can't be told. So does a node first seen, when it started after the round
/// before; else its counts so far belong to no known time and are left out.
std::vector<round_increase> IncreasesOf(std::span<const sample_round> rounds);

}  // namespace wagtailmount
