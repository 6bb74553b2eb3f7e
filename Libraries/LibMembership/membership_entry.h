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
struct text_hash {
  using is_transparent = void;

  std::size_t operator()(std::string_view text) const noexcept {
    return std::hash<std::string_view>{}(text);
  }
};

/// Counts of one failure domain's VMs, and what this node observes of them over
/// its own links.
struct domain_facts {
  std::string failure_domain;
  std::size_t records = 0;  ///< Including gone VMs; erased when it becomes 0.
  std::size_t present = 0;  ///< Records of VMs that are not gone.
  std::size_t watched = 0;  ///< Peers in the state kHeard or kLost.
  std::size_t lost = 0;     ///< Peers in the state kLost.
  /// VMs absent from the platform's list; valid only while a list is merged.
  std::size_t unlisted = 0;
  /// Most of the watched peers are lost: taken for a network partition.
  bool is_cut = false;
  /// VMs declared gone, without having announced that they leave, within
  /// `membership_settings::at_once` of the latest one.
  std::vector<membership_entry*> sudden_deaths;
};

/// The VMs of one service and the upstreams built from them.
struct service_slot {
  std::string service;
  std::vector<membership_entry*> members;          ///< Sorted by VM name.
  std::shared_ptr<const service_upstreams> built;  ///< Null if out of date.
};

/// State of this node's own link to a VM.
enum class contact : std::uint8_t { kNotWatched, kHeard, kLost };

/// State of a VM in the platform's list; kNone until one is merged.
enum class list_word : std::uint8_t { kNone, kLive, kLeaving, kAbsent };

/// The record of one VM with this node's observations of it.
struct membership_entry {
  vm_record record;
  time_point incarnation_since;  ///< When this node first saw the incarnation.
  time_point contact_since;
  time_point gone_since;
  time_point word_since;
  std::uint64_t hash = 0;
  std::uint64_t list_seen = 0;  ///< `list_merges_` when it was last listed.
  domain_facts* domain = nullptr;
  service_slot* slot = nullptr;
  std::uint8_t bucket = 0;
  /// How often this VM refuted that it is leaving or gone since the platform
  /// last listed it as live. Each refutation doubles the timeouts
  /// `gone_after` and `list_lag` for this VM.
  std::uint8_t refutations = 0;
  contact reached = contact::kNotWatched;
  list_word word = list_word::kNone;
  bool is_in_delta = false;
  /// Gone together with most of its failure domain, which suggests a partition:
  /// it stays an upstream of last resort.
  bool is_kept = false;
};

}  // namespace wagtailmount::detail
