#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "LibBase/json_object_reader.h"
#include "LibMembership/vm_record.h"

namespace wagtailmount {

/// What the platform publishes.
enum class platform_interface : std::uint8_t {
  kFolder,   ///< The operators' folder and a list of VMs, as docs/PROTOCOLS.md
             ///< says.
  kCatalog,  ///< Entries under keys, as docs/PLATFORM.md says.
};

/// The settings of one node, from its settings file.
struct node_settings {
  std::string vm;
  std::string region;
  std::string failure_domain;
  std::string service;
  endpoint caller;
  endpoint hop;
  endpoint peer;
  endpoint admin;
  endpoint advertised_hop;   ///< Where others reach `hop`, when they reach it
                             ///< by another address; else the same.
  endpoint advertised_peer;  ///< The like for `peer`.
  endpoint backend_server;
  endpoint readiness;  ///< Where the platform asks whether callers are taken;
                       ///< only with a catalog.
  platform_interface interface = platform_interface::kFolder;
  std::vector<endpoint> platform;  ///< Tried in turn.
  std::uint32_t platform_calls_per_second =
      0;                           ///< The platform's rate over all readers.
  std::uint32_t expected_vms = 0;  ///< The fleet's size, for the read budget
                                   ///< before the list is known.
  std::vector<endpoint> seeds;     ///< Peers to ask first; may be empty.
  std::uint32_t traffic_threads = 1;
  double link_megabits_per_second = 0.0;  ///< Of this VM; 0: not told.
  /// Repeats of all nodes together, as a share of a service's requests and a
  /// number beyond that; only with a catalog.
  double retry_share = 0.1;
  std::uint32_t retry_slack = 0;
  std::chrono::milliseconds drain_grace{
      30'000};  ///< What is in flight after that is cut.
  std::chrono::milliseconds join_wait{
      5'000};  ///< How long a start waits to learn the newest version.
};

/// Reads settings written as JSON with comments. Every fault is reported with
/// its JSON path.
tl::expected<node_settings, std::vector<document_fault>> ParseNodeSettings(
    std::string_view text);

/// What this node tells peers of itself. `started` are milliseconds of Unix
/// time: a later start has a higher incarnation.
vm_record OwnRecord(const node_settings& settings, std::int64_t started,
                    vm_state state);

}  // namespace wagtailmount
