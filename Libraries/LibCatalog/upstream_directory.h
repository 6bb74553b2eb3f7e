#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "LibBase/clock.h"
#include "LibCatalog/upstream_record.h"
#include "LibRouting/evacuation_table.h"
#include "LibRouting/routing_snapshot.h"

namespace wagtailmount {

/// A registration of a backend server, as read from the platform.
struct registered_upstream {
  upstream_record record;
  /// The revision at which the registration was created: of two registrations
  /// with one address, the one born later is valid, or else the one created
  /// later.
  std::uint64_t created = 0;
  /// The revision at which it was last written.
  std::uint64_t revision = 0;
};

/// A VM with a registered backend server, where a node runs.
struct node_location {
  std::string vm;  ///< Its IP address.
  std::string failure_domain;
};

/// Derives the upstreams of all services, and the VMs of the fleet, from the
/// registrations of the backend servers.
class upstream_directory {
 public:
  struct settings {
    endpoint own_backend_server;
    std::string own_service;
    std::string region;
    /// Of this VM while its backend server has no registration.
    std::string failure_domain;
    /// The port where the node beside an upstream takes requests; the same on
    /// all VMs.
    std::uint16_t hop_port = 0;
  };

  explicit upstream_directory(settings chosen) : settings_(std::move(chosen)) {}

  /// Replaces the registrations. One that is missing now is kept until
  /// `keep_missing_until`, unless it was leaving: registrations expire during a
  /// platform outage although their backend servers may still run.
  void Update(time_point now, std::span<const registered_upstream> registered,
              time_point keep_missing_until);

  /// Drops missing registrations that have been kept for long enough; returns
  /// whether there were any.
  bool Expire(time_point now);

  /// Replaces the set of evacuated failure domains; returns what changed.
  std::vector<evacuation_table::change> SetEvacuated(
      time_point now, const std::set<std::string>& failure_domains) {
    return evacuations_.Update(now, failure_domains);
  }
  const evacuation_table& Evacuations() const { return evacuations_; }

  /// Whether any registration is of this failure domain.
  bool IsFailureDomainKnown(std::string_view failure_domain) const;

  /// The upstreams of each service, in the order of service names.
  std::vector<std::shared_ptr<const service_upstreams>> Upstreams() const;

  /// The backend server on this VM. `declared` holds the limits that its
  /// service declares; the slots that it registered take precedence. Without a
  /// registration it counts as leaving: some backend servers never report that
  /// they leave, and their registration is removed instead.
  own_backend_server OwnBackendServer(const upstream_limits& declared) const;

  /// The VMs with a backend server that is not leaving, without duplicates and
  /// sorted by `vm`.
  std::vector<node_location> ActiveNodes() const;

 private:
  struct entry {
    registered_upstream registered;
    /// When a registration that is missing is dropped; zero while it is there.
    time_point dropped_at{};
  };

  /// One start of a backend server: an id may be used again.
  struct start_key {
    std::string id;
    std::int64_t born = 0;

    auto operator<=>(const start_key&) const = default;
  };
  static start_key KeyOf(const registered_upstream& registered) {
    return {registered.record.id, registered.record.born};
  }

  /// The start that is valid under one id, by its birth, and when it was last
  /// seen.
  struct newest_birth {
    std::int64_t born = 0;
    time_point seen_at{};
    /// Another birth that was written since and may be of a start that is gone,
    /// and the revision of that; 0 if there is none.
    std::int64_t other_born = 0;
    std::uint64_t other_revision = 0;
    /// A later birth that it has replaced; 0 if there is none.
    std::int64_t replaced_born = 0;
  };

  const entry* OwnEntry() const;
  void UpdateOwn(time_point now);
  void UpdateOwnLeaving(time_point now);
  void UpdateOwnColdness(time_point now);
  bool IsSuperseded(const entry& candidate) const;
  void RecordBirth(time_point now, const registered_upstream& registered);
  bool IsOfOtherBirth(const registered_upstream& registered) const;
  bool IsLeaving(const registered_upstream& registered) const;
  void RememberLeaving(time_point now,
                       std::span<const registered_upstream> registered);

  settings settings_;
  std::map<std::string, entry, std::less<>> entries_;  ///< By record id.
  evacuation_table evacuations_;
  /// By record id. A start under an id makes the earlier ones invalid, although
  /// the last write of one may come late. One that goes on writing is not an
  /// earlier one: the clock by which it states its birth was wrong.
  std::map<std::string, newest_birth, std::less<>> newest_births_;
  /// When each start of a backend server was first seen leaving: a delayed
  /// write of an earlier state must not make it available again.
  std::map<start_key, time_point> leaving_since_;
  /// A registration that was removed.
  struct removed_registration {
    std::uint64_t created = 0;
    time_point since{};
  };
  /// The registrations removed lately: a platform that was restored from a copy
  /// shows them again.
  std::map<start_key, removed_registration> removed_;
  std::uint32_t last_own_slots_ = 0;
  /// Since when the backend server on this VM has been leaving or has had no
  /// registration; zero while it is available.
  time_point own_leaving_since_{};
  /// What the last registration of the backend server on this VM stated, and
  /// when this node read it; kept when the registration lapses.
  std::uint64_t own_revision_ = 0;
  std::uint64_t own_incarnation_ = 0;
  std::chrono::milliseconds own_cold_remaining_{0};
  time_point own_cold_stated_at_{};
};

}  // namespace wagtailmount
