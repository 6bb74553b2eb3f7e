#pragma once

#include <cstddef>
#include <map>

#include "LibBase/clock.h"
#include "LibConfig/configuration.h"
#include "LibRouting/request_kind.h"

namespace wagtailmount {

/// Which part of the requests of each kind an owner has started lately, and
/// which kinds are to be started first because that part is too small.
///
/// Handles these load patterns:
/// - a lasting overload in which one kind would get all the room, because its
///   work is shorter or its rank earlier: the others keep a floor.
class served_shares {
 public:
  static constexpr std::size_t kMaxKinds = 32;

  /// Counts an arriving request.
  void CountAsked(time_point now, request_priority rank, request_kind kind);
  /// Counts the start of a request that was counted as it arrived.
  void CountStarted(time_point now, request_priority rank, request_kind kind);

  /// Whether less than the floor of a kind's requests were started lately. The
  /// floor is a part of the share of all requests that were started, and no
  /// more than the least share among the kinds of earlier ranks.
  bool IsBelowFloor(time_point now, request_priority rank,
                    request_kind kind) const;

 private:
  struct kind_key {
    request_priority rank;
    request_kind kind;
    auto operator<=>(const kind_key&) const = default;
  };
  /// Numbers of requests, the older ones counted for less.
  struct counts {
    double asked = 0.0;
    double started = 0.0;
    time_point counted_at{};
  };

  static double Kept(time_point now, const counts& seen);
  static double ShareOf(const counts& seen);
  counts& Find(time_point now, kind_key key);

  counts of_all_;
  std::map<kind_key, counts> of_kind_;  ///< At most kMaxKinds.
};

}  // namespace wagtailmount
