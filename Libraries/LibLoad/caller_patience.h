#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/clock.h"

namespace wagtailmount {

/// How long a caller has waited already when a request of it arrives. Callers
/// that come back after a refusal tell the time they have left, which is less
/// than the others of their route tell.
///
/// Answers the load patterns of refused callers that come back: they are told
/// from fresh ones, though nothing marks them; and of callers that differ in
/// patience by a part: an impatient fresh one has waited for nothing. How much
/// they differ is learned while nobody is turned away, for then all are fresh.
class caller_patience {
 public:
  /// The time that a caller of `route` has waited, if it has `left` now.
  std::chrono::milliseconds WaitedBefore(time_point now, std::string_view route,
                                         std::chrono::milliseconds left);

  /// A caller of `route` was refused and may come back.
  void TurnedAway(time_point now, std::string_view route);

 private:
  /// Shares are of `longest`.
  struct route_patience {
    std::chrono::milliseconds longest{};
    std::optional<double> usual_share;  ///< Mean of fresh callers.
    double least_share = kFirstLeastShare;
    std::optional<time_point> turned_away_at;
  };

  /// Nearly all fresh callers have at least that part of the longest patience,
  /// until it is learned. Source: those who come back after ReturnAfter() have
  /// at most five sixths left.
  static constexpr double kFirstLeastShare = 0.84;

  static bool AreAllFresh(time_point now, const route_patience& known);
  static void Learn(route_patience& known, double share);

  std::map<std::string, route_patience, std::less<>> routes_;
};

}  // namespace wagtailmount
