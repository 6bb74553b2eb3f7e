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
  kFolder,   ///< A folder of configuration files and a list of VMs; see
             ///< docs/PROTOCOLS.md.
  kCatalog,  ///< A store of entries by key; see docs/PLATFORM.md.
};

/// The settings of one node, as read from its settings file.
struct node_settings {
  std::string vm;
  std::string region;
  std::string failure_domain;
  std::string service;
  endpoint caller;  ///< Listening address for callers' requests.
  endpoint hop;    ///< Listening address for requests forwarded by other nodes.
  endpoint peer;   ///< Listening address for control links.
  endpoint admin;  ///< Listening address of the admin API.
  endpoint advertised_hop;   ///< The address at which other VMs reach `hop`;
                             ///< `hop` itself unless the settings name one.
  endpoint advertised_peer;  ///< The same for `peer`.
  endpoint backend_server;   ///< Address of the backend server on this VM.
  endpoint readiness;        ///< Listening address of the platform's readiness
                       ///< checks; only with platform_interface::kCatalog.
  platform_interface interface = platform_interface::kFolder;
  std::vector<endpoint> platform;        ///< Addresses, tried in turn.
  double platform_calls_per_second = 0;  ///< Call rate that the platform allows
                                         ///< to all readers together.
  std::uint32_t expected_vms = 0;  ///< Least fleet size for the read budget,
                                   ///< which is needed before the VMs are
                                   ///< known.
  std::vector<endpoint> seeds;     ///< First peers to connect to; may be empty.
  std::uint32_t traffic_threads = 1;
  double link_megabits_per_second = 0.0;  ///< Rate of this VM's link; 0
                                          ///< if unknown.
  /// How many descriptors this process may have open; 0 if unknown.
  std::uint32_t maximum_descriptors = 0;
  /// Retry budget of all nodes together: a share of a service's requests, and a
  /// number of retries beyond that. Only with platform_interface::kCatalog.
  double retry_share = 0.1;
  double retry_slack = 0.0;
  /// How far the limit of a service on its cold backend servers may be
  /// exceeded: in a second, `cold_overage` times its rate and `cold_slack`
  /// requests. Only with platform_interface::kCatalog.
  double cold_overage = 1.0;
  double cold_slack = 0.0;
  std::chrono::milliseconds drain_grace{
      30'000};  ///< A planned stop does not wait longer for requests in flight.
  std::chrono::milliseconds join_wait{
      5'000};  ///< How long a start waits for peers to name the newest version.
};

/// Parses settings from JSON with comments. On failure returns every fault with
/// its JSON path.
tl::expected<node_settings, std::vector<document_fault>> ParseNodeSettings(
    std::string_view text);

/// Returns this node's own membership record. `started_unix_ms` is the Unix
/// time of its start in milliseconds; it is the incarnation, so a later start
/// has a higher one.
vm_record MakeOwnRecord(const node_settings& settings,
                        std::int64_t started_unix_ms, vm_state state);

}  // namespace wagtailmount
