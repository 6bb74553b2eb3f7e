#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/clock.h"
#include "LibMembership/vm_record.h"
#include "LibRouting/routing_snapshot.h"

namespace wagtailmount::detail {

struct membership_entry;

/// Transparent hash: maps with std::string keys take std::string_view lookups.
struct string_hash {
  using is_transparent = void;

  std::size_t operator()(std::string_view text) const noexcept {
    return std::hash<std::string_view>{}(text);
  }
};

/// Counts of one failure domain's VMs, and what this node observes of them over
/// its own links.
struct failure_domain_status {
  std::string failure_domain;
  std::size_t records = 0;  ///< Including gone VMs; erased when it becomes 0.
  std::size_t present = 0;  ///< Records of VMs that are not gone.
  std::size_t watched = 0;  ///< Peers in the state kReachable or kUnreachable.
  std::size_t unreachable = 0;  ///< Peers in the state kUnreachable.
  /// VMs absent from the platform's list; valid only while a list is merged.
  std::size_t unlisted = 0;
  /// Most of the watched peers are unreachable: taken for a network partition.
  bool is_partitioned = false;
  /// VMs declared gone, without having announced that they leave, within
  /// `membership_settings::mass_failure_window` of the latest one.
  std::vector<membership_entry*> abrupt_failures;
};

/// The VMs of one service and the upstreams built from them.
struct service_group {
  std::string service;
  std::vector<membership_entry*> members;  ///< Sorted by VM name.
  /// Null if out of date.
  std::shared_ptr<const service_upstreams> cached_upstreams;
};

/// State of this node's own link to a VM.
enum class peer_link_state : std::uint8_t {
  kNotWatched,   ///< No link; says nothing about the VM.
  kReachable,    ///< The link works.
  kUnreachable,  ///< The link was lost.
};

/// State of a VM in the platform's list; kNone until one is merged.
enum class list_status : std::uint8_t { kNone, kLive, kLeaving, kAbsent };

/// The record of one VM with this node's observations of it.
struct membership_entry {
  vm_record record;
  time_point incarnation_since;  ///< When this node first saw the incarnation.
  time_point link_since;
  time_point gone_since;
  time_point listed_since;
  std::uint64_t hash = 0;
  /// Value of `list_merges_` when the platform's list last named this VM.
  std::uint64_t last_listed_merge = 0;
  failure_domain_status* domain = nullptr;
  service_group* group = nullptr;
  std::uint8_t bucket = 0;
  /// How often this VM refuted that it is leaving or gone since the platform
  /// last listed it as live. Each refutation doubles the timeouts
  /// `gone_after` and `list_lag` for this VM.
  std::uint8_t refutations = 0;
  peer_link_state link = peer_link_state::kNotWatched;
  list_status listed_as = list_status::kNone;
  bool is_in_delta = false;
  /// Gone together with most of its failure domain, which suggests a partition:
  /// it stays an upstream of last resort.
  bool is_last_resort = false;
};

}  // namespace wagtailmount::detail
