#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "LibBase/clock.h"
#include "LibBase/random.h"

namespace wagtailmount {

/// Rate limiter for one node's share of the calls that the platform allows.
///
/// The shares of all nodes of a fleet add up to `kUsableFraction` of the
/// platform's rate without coordination, because a share depends only on the
/// VM's name and the fleet's size. Nodes whose names hash low get most of the
/// rate, as they are the ones that ReaderRank() ranks first. Every node gets a
/// small share, so that it can read the platform without any peer.
///
/// Permits become available at a constant rate and expire after
/// `kPermitLifetime`. With a token bucket of size one, nodes that were idle for
/// long could all call at the same moment.
class read_budget {
 public:
  /// Fraction of the platform's rate that the whole fleet may use.
  static constexpr double kUsableFraction = 0.5;
  /// Fraction of the usable rate that is split evenly among the nodes; the rest
  /// is split by reader hash.
  static constexpr double kEvenlySplitFraction = 0.1;
  static constexpr duration kPermitLifetime = std::chrono::seconds{1};

  struct settings {
    std::string vm;
    double platform_calls_per_second = 2'000;
    std::size_t fleet_size = 1;  ///< Number of VMs; 0 counts as 1.
  };

  /// The first permit becomes available at a random time within one permit
  /// interval, so that nodes that start together do not call together.
  read_budget(const settings& chosen, time_point now, random_source& random);

  /// Takes a permit for one call; false if none is available.
  bool TryTake(time_point now);

  /// The earliest time at which TryTake() can succeed; `now` or earlier if it
  /// would succeed at once.
  time_point NextPermitAt(time_point now) const;

  /// Recomputes the share for a new fleet size.
  void SetFleetSize(std::size_t fleet_size, time_point now);

  double CallsPerSecond() const { return calls_per_second_; }
  std::uint64_t Taken() const { return taken_; }
  std::uint64_t Refused() const { return refused_; }

  /// The share of a VM, in calls per second.
  static double ShareOf(std::string_view vm, double platform_calls_per_second,
                        std::size_t fleet_size);

 private:
  /// Permits are numbered from 0; this is the newest one issued by the time
  /// `at`, negative before the first.
  std::int64_t PermitIndexAt(time_point at) const;
  /// The oldest permit that is neither taken nor expired; it may lie in the
  /// future.
  std::int64_t NextUsablePermit(time_point now) const;

  std::string vm_;
  double platform_calls_per_second_;
  std::size_t fleet_size_;
  double calls_per_second_;
  time_point first_permit_at_;
  std::int64_t last_taken_ = -1;
  std::uint64_t taken_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace wagtailmount
