#pragma once

#include <cstddef>
#include <map>

#include "LibBase/clock.h"
#include "LibConfig/configuration.h"
#include "LibRouting/request_kind.h"

namespace wagtailmount {

/// The mean durations of requests at one backend server, learned for each kind
/// of request: a rank may hold kinds of very different work, such as calls
/// between services beside the requests that cause them.
///
/// Handles these load patterns:
/// - short and long kinds at one service: each is judged by its own work;
/// - a configuration with many routes: a bounded number of kinds is kept, and
///   the others share the mean of their rank.
class service_times {
 public:
  static constexpr std::size_t kMaxKinds = 32;

  /// The mean duration of a kind; that of its rank if the kind is not told, or
  /// of all requests if that isn't known either. Zero if nothing is known, and
  /// for a kind that is told and has not run lately: the mean of other kinds
  /// could keep it from ever being learned.
  duration Of(time_point now, request_priority rank, request_kind kind) const;

  /// The mean duration of all requests.
  duration OfAll() const { return of_all_; }

  /// Learns that a request of `kind` ended `taken` after its start.
  void Record(time_point now, request_priority rank, request_kind kind,
              duration taken);

 private:
  struct mean_duration {
    duration mean{};
    time_point learned_at{};
  };

  void ForgetForOneMore(time_point now);

  duration of_all_{};
  std::map<request_priority, duration> of_rank_;
  std::map<request_kind, mean_duration> of_kind_;  ///< At most kMaxKinds.
};

}  // namespace wagtailmount
