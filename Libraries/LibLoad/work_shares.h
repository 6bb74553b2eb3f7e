#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "LibBase/clock.h"
#include "LibConfig/configuration.h"
#include "LibRouting/request_kind.h"

namespace wagtailmount {

/// Which part of an owner's room each kind of request has taken lately, and how
/// long its requests may wait: from this an owner tells which part of the room
/// goes to requests that have yet to arrive and start first.
class work_shares {
 public:
  static constexpr std::size_t kMaxKinds = 32;

  /// Counts a start that takes `work` where all take `mean_work` on average. It
  /// might have waited for `longest_wait`; none of a late request, whose wait
  /// says nothing of its kind. `is_ordinary` is false where it was started
  /// first because its kind was below its floor.
  void CountStart(request_priority rank, request_kind kind, duration work,
                  duration mean_work, std::optional<duration> longest_wait,
                  bool is_ordinary);

  /// The part, 0 to 1, of the room that goes to later arrivals ahead of a
  /// request: earlier ranks, other kinds of its rank that may wait for much
  /// less, and other kinds below their floor.
  double ShareAhead(request_priority rank, request_kind kind,
                    duration longest_wait) const;

  /// How long requests of a kind may usually wait; the maximum if none of it
  /// was started lately.
  duration UsualWait(request_priority rank, request_kind kind) const;

 private:
  struct kind_key {
    request_priority rank;
    request_kind kind;
    auto operator<=>(const kind_key&) const = default;
  };
  struct usage {
    double share = 0.0;                       ///< Of starts in the usual order.
    double floor_share = 0.0;                 ///< Of starts before their turn.
    duration longest_wait = duration::max();  ///< Smoothed; if known.
  };

  std::map<kind_key, usage> of_kind_;  ///< At most kMaxKinds.
};

}  // namespace wagtailmount
