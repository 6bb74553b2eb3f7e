#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "LibBase/json_document.h"

namespace wagtailmount {

/// Calls of one service that entered at one node, since its start.
struct service_counters {
  std::string service;
  std::uint64_t requests = 0;
  std::uint64_t failed = 0;  ///< Not answered, or answered by a server error.
  std::uint64_t slow = 0;    ///< Above the latency of the service level.
};

/// What one node has counted since its start; the counts only rise, and begin
/// at zero again with each start.
struct node_counters {
  std::string vm;
  std::int64_t started_unix_ms = 0;  ///< By the node's own clock.
  std::int64_t unix_ms = 0;          ///< By the node's own clock.
  std::vector<service_counters> services;
  std::uint64_t changes = 0;        ///< Versions put in force.
  std::uint64_t late_changes = 0;   ///< Of these, those past the target.
  std::uint64_t control_bytes = 0;  ///< Sent and received for control.
};

/// Reads the answer to GET /v1/counters. Members of newer nodes that this
/// program does not know are passed over.
tl::expected<node_counters, std::vector<document_fault>> ParseNodeCounters(
    const nlohmann::json& answer);

/// Writes what ParseNodeCounters() reads.
nlohmann::json ToJson(const node_counters& counters);

}  // namespace wagtailmount
