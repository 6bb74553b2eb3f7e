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

/// One upstream as the control thread knows it.
struct upstream {
  std::string vm;
  std::string failure_domain;
  std::string region;
  endpoint hop;
  std::uint64_t incarnation = 0;
  bool is_leaving = false;
  bool is_suspect = false;        ///< Not heard of for a while; used only when
                                  ///< nothing better is left.
  std::string backend_server_id;  ///< Of the start that is meant; empty where
                                  ///< the platform gives none.
};

/// What this node knows of the backend server on its own VM.
struct own_backend_server {
  std::string service;
  upstream_limits limits;
  std::uint32_t fleet_size = 1;  ///< VMs with a backend server.
  /// When its leaving was first known here; zero while it stays.
  time_point leaving_since{};
};

/// The upstreams of one service, immutable; shared between snapshots while
/// unchanged.
struct service_upstreams {
  std::string service;
  std::vector<upstream> upstreams;
};

/// All that a traffic thread needs for one request; swapped whole. A request
/// keeps the one it began with.
class routing_snapshot {
 public:
  /// `upstreams` in the order of service names. Without `own`, the settings
  /// name the service and its declaration gives the limits.
  routing_snapshot(
      std::shared_ptr<const configuration> accepted,
      std::vector<std::shared_ptr<const service_upstreams>> upstreams,
      std::optional<own_backend_server> own = std::nullopt);

  const configuration& Configuration() const { return *accepted_; }

  /// Empty when no VM of the service is known.
  std::span<const upstream> UpstreamsOf(std::string_view service) const;

  const std::optional<own_backend_server>& Own() const { return own_; }

 private:
  std::shared_ptr<const configuration> accepted_;
  std::vector<std::shared_ptr<const service_upstreams>> upstreams_;
  std::optional<own_backend_server> own_;
};

}  // namespace wagtailmount
