#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/error.h"
#include "LibReport/node_counters.h"

namespace wagtailmount {

/// A node that was asked and did not give its counters.
struct silent_node {
  std::string node;  ///< As the operator named it.
  std::string reason;

  bool operator==(const silent_node&) const = default;
};

/// The counters of several nodes, asked at one time.
struct sample_round {
  std::int64_t taken_unix_ms = 0;  ///< By the clock of the asking side.
  std::vector<node_counters> nodes;
  std::vector<silent_node> silent;
};

/// One round as a line of JSON, for a history file.
std::string ToLine(const sample_round& round);

/// Reads the lines that ToLine() wrote; the error names the line. Rounds come
/// back in the order of their times.
result<std::vector<sample_round>> ParseHistory(std::string_view text);

}  // namespace wagtailmount
