#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "LibConfig/acceptance.h"
#include "LibConfig/configuration.h"
#include "LibLink/message.h"

namespace wagtailmount {

/// Instructs the caller to send a message to a peer. Delivery may fail; the
/// protocol recovers from lost messages.
struct send_effect {
  std::string peer_vm;
  message content;
};

/// Reports that this version replaced the held one. Each is greater than the
/// one before.
struct in_force_effect {
  std::shared_ptr<const configuration> version;
  std::string from_peer;  ///< Empty when this node read it from the platform.
  /// Links between the reader that accepted the version from the platform and
  /// this node. 0 when this node read it itself, or when a peer announced it in
  /// a hello or compare message, which do not carry the count.
  std::uint32_t hops = 0;
  std::chrono::milliseconds source_age{0};
};

/// Reports that a version was refused: once when a peer reports it, and once
/// when this node itself refuses it.
struct refused_effect {
  refusal refused;
  std::string from_peer;     ///< Empty when this node read it itself.
  bool is_reported = false;  ///< Reported by a peer, not judged by this node.
};

/// Reports that the platform published two different contents under the same
/// revision. The version that compares greater stays in force or comes into
/// force.
struct conflict_effect {
  version_id held;
  version_id other;
  std::string from_peer;  ///< Empty when this node read it itself.
};

using spread_effect =
    std::variant<send_effect, in_force_effect, refused_effect, conflict_effect>;
using spread_effects = std::vector<spread_effect>;

inline void AddSend(spread_effects& effects, std::string peer_vm,
                    message content) {
  effects.emplace_back(std::in_place_type<send_effect>,
                       send_effect{std::move(peer_vm), std::move(content)});
}

/// Monotonic counters since the process started.
struct spread_counters {
  std::uint64_t offers_sent = 0;
  std::uint64_t offers_received = 0;
  std::uint64_t offers_outdated = 0;  ///< Offered version not above the held.
  std::uint64_t compares_sent = 0;
  std::uint64_t compares_received = 0;
  std::uint64_t pulls_started = 0;
  std::uint64_t pulls_completed = 0;
  std::uint64_t pulls_failed = 0;      ///< No peer left had the missing files.
  std::uint64_t timeouts = 0;          ///< Peers that did not answer in time.
  std::uint64_t delta_mismatches = 0;  ///< Retried with the whole manifest.
  std::uint64_t manifest_mismatches = 0;
  std::uint64_t body_mismatches = 0;  ///< Wrong digest, or wrong size.
  std::uint64_t bodies_received = 0;
  std::uint64_t body_bytes_received = 0;
  std::uint64_t manifests_served_whole = 0;
  std::uint64_t manifests_served_as_delta = 0;
  std::uint64_t bodies_served = 0;
  std::uint64_t requests_delayed = 0;      ///< By the limit on served bytes.
  std::uint64_t unsolicited_messages = 0;  ///< Answers to no open request.
  std::uint64_t messages_from_unknown_peers =
      0;  ///< From VMs that are not peers.
  std::uint64_t messages_of_unexpected_kind = 0;  ///< Kinds not handled here.
  std::uint64_t versions_in_force = 0;
  std::uint64_t versions_refused = 0;
  std::uint64_t refusals_reported = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t source_outdated = 0;  ///< The platform had an older version.
  std::uint64_t pauses = 0;
};

}  // namespace wagtailmount
