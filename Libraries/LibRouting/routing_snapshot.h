#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/clock.h"
#include "LibBase/endpoint.h"
#include "LibConfig/configuration.h"

namespace wagtailmount {

/// One upstream, as the control thread last knew it.
struct upstream {
  std::string vm;
  std::string failure_domain;
  std::string region;
  endpoint hop;  ///< Where its owner accepts requests from other nodes.
  std::uint64_t incarnation = 0;
  bool is_leaving = false;
  bool is_suspect = false;        ///< Not heard from for a while; used only if
                                  ///< no better upstream is left.
  std::string backend_server_id;  ///< Names one start of the backend server;
                                  ///< empty if the platform gives no id.
  bool is_evacuated = false;      ///< Its failure domain is evacuated.
};

/// The backend server on this node's own VM.
struct own_backend_server {
  std::string service;
  upstream_limits limits;
  std::uint32_t fleet_size = 1;  ///< Number of VMs with a backend server.
  /// When this node first learned that it is leaving, or that its registration
  /// is gone; zero if it is available.
  time_point leaving_since{};
  /// Since when its failure domain has been evacuated; zero if it is not.
  time_point evacuated_since{};
  /// When its last evacuation ended; zero if there was none.
  time_point evacuation_ended_at{};
  /// Identifies its start, over all starts under one id; 0 if unknown.
  std::uint64_t incarnation = 0;
  /// What it last stated about being cold, and when this node read that; zero
  /// if it stated nothing.
  std::chrono::milliseconds cold_remaining{0};
  time_point cold_stated_at{};
};

/// The upstreams of one service. Immutable, and shared by successive snapshots
/// until they change.
struct service_upstreams {
  std::string service;
  std::vector<upstream> upstreams;
};

/// The configuration and upstreams by which traffic threads route requests.
/// Immutable: a change replaces the whole snapshot, and a request keeps the
/// snapshot with which it began.
class routing_snapshot {
 public:
  /// `upstreams` must be sorted by service name. Without `own`, this VM's
  /// service is taken from the settings and its limits from its declaration.
  routing_snapshot(
      std::shared_ptr<const configuration> accepted,
      std::vector<std::shared_ptr<const service_upstreams>> upstreams,
      std::optional<own_backend_server> own = std::nullopt);

  const configuration& Configuration() const { return *accepted_; }

  /// Returns the upstreams of `service`; empty if none are known.
  std::span<const upstream> UpstreamsOf(std::string_view service) const;

  /// The backend server on this node's own VM, if it is known.
  const std::optional<own_backend_server>& Own() const { return own_; }

 private:
  std::shared_ptr<const configuration> accepted_;
  std::vector<std::shared_ptr<const service_upstreams>> upstreams_;
  std::optional<own_backend_server> own_;
};

}  // namespace wagtailmount
