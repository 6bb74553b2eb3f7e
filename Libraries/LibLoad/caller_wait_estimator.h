#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/clock.h"

namespace wagtailmount {

/// Estimates, from the deadline of an arriving request, how long its caller has
/// been waiting already. A caller that retries after a refusal states the time
/// it has left, which is less than what first attempts on its route state.
///
/// Handles these load patterns:
/// - refused callers that retry: nothing marks a retry, so it is recognised
///   by its shorter deadline;
/// - callers of one route whose deadlines differ: a first attempt with a short
///   deadline must not count as a retry. How much deadlines differ is measured
///   while nobody is refused, since all requests are first attempts then.
class caller_wait_estimator {
 public:
  /// Returns how long a caller of `route` has probably waited if `left` remains
  /// until its deadline; zero for a first attempt.
  std::chrono::milliseconds EstimateWait(time_point now, std::string_view route,
                                         std::chrono::milliseconds left);

  /// Records that a caller of `route` was refused and may retry.
  void RecordRefusal(time_point now, std::string_view route);

 private:
  /// What is known of the deadlines on one route. Shares are of
  /// `longest_left`, the longest time left that a request had on arrival.
  struct route_deadlines {
    std::chrono::milliseconds longest_left{};
    std::optional<double> mean_share;  ///< Mean of first attempts.
    /// A request below it counts as a retry.
    double min_share = kInitialMinShare;
    std::optional<time_point> last_refusal;
  };

  /// The minimum share before any first attempt has adjusted it: just above the
  /// five sixths that a caller that retries after RetryAfterDelay() has left at
  /// most.
  static constexpr double kInitialMinShare = 0.84;

  static bool AreAllFirstAttempts(time_point now, const route_deadlines& known);
  static void UpdateShares(route_deadlines& known, double share);

  std::map<std::string, route_deadlines, std::less<>> routes_;
};

}  // namespace wagtailmount
