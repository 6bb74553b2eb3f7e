#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "LibBase/clock.h"
#include "LibCatalog/upstream_record.h"
#include "LibRouting/routing_snapshot.h"

namespace wagtailmount {

/// A record with the revisions that order two starts at one address.
struct registered_upstream {
  upstream_record record;
  std::uint64_t created = 0;
};

/// A VM with a backend server, where a node runs.
struct neighbour {
  std::string vm;  ///< Its IP address.
  std::string failure_domain;
};

/// The upstreams of all services, from what the backend servers registered.
class upstream_directory {
 public:
  struct settings {
    endpoint own_backend_server;
    std::string own_service;
    std::string region;
    std::uint16_t hop_port = 0;  ///< The same on all VMs.
  };

  explicit upstream_directory(settings chosen) : settings_(std::move(chosen)) {}

  /// Replaces what is registered. Entries that have vanished stay until
  /// `doubt_until`: the platform was away, and their backend servers may live.
  void Update(time_point now, std::span<const registered_upstream> registered,
              time_point doubt_until);

  /// Drops doubtful entries whose time is over; true when there were any.
  bool Expire(time_point now);

  /// In the order of service names.
  std::vector<std::shared_ptr<const service_upstreams>> Upstreams() const;

  /// The backend server on this VM; `limits` holds what its service declares.
  own_backend_server Own(const upstream_limits& declared) const;

  /// Every VM that is registered and not leaving, once, in name order.
  std::vector<neighbour> Neighbours() const;

 private:
  struct entry {
    registered_upstream registered;
    time_point vanishes_at{};  ///< Zero while it is registered.
  };

  const entry* OwnEntry() const;
  bool IsSuperseded(const entry& candidate) const;
  void RememberLeaving(time_point now,
                       std::span<const registered_upstream> registered);

  settings settings_;
  std::map<std::string, entry, std::less<>> entries_;  ///< By id.
  /// Since when each start of a backend server is known to leave. A late write
  /// of an earlier state must not bring it back.
  std::map<std::string, time_point, std::less<>> leaving_since_;
  std::uint32_t last_own_slots_ = 0;
};

}  // namespace wagtailmount
