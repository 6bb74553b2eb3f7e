#pragma once

#include "LibBase/clock.h"
#include "LibBase/random.h"

namespace wagtailmount {

/// Detects that a traffic thread itself gets more work than it can do, and
/// decides which share of the callers' new requests it refuses at once, for a
/// small part of what serving them would cost. Requests from other nodes are
/// not refused by it: another node has already spent work on them.
///
/// It is told how long markers wait in the thread's queue of events. A thread
/// with a standing queue lets every marker wait; one that was merely without a
/// turn for a moment, as on a small share of a core, lets only one wait. So the
/// shortest wait of a window decides.
///
/// Handles a burst in which refused callers come back at once on connections of
/// their own: without it the thread works through requests whose callers have
/// left, and reads the others only after their time is over.
class saturation_controller {
 public:
  /// Records that a marker waited for `wait` until `now`.
  void RecordWait(time_point now, duration wait);

  /// Whether to refuse a new request.
  bool ShouldRefuse(random_source& random) const {
    return refused_share_ > 0.0 && random.Fraction() < refused_share_;
  }

  /// Whether some requests are refused.
  bool IsSaturated() const { return refused_share_ > 0.0; }

  /// How long the last marker waited: an event that is handled now may have
  /// waited as long.
  duration LastWait() const { return last_wait_; }

 private:
  void EndWindow(time_point now);

  time_point window_began_{};
  duration shortest_wait_ = duration::max();
  int markers_ = 0;
  duration last_wait_{};
  double refused_share_ = 0.0;
};

}  // namespace wagtailmount
