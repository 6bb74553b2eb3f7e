#pragma once

#include <optional>

#include "LibBase/clock.h"

namespace wagtailmount {

/// Detects that the process was paused, by the time between two steps. State
/// from before a pause can't be trusted: deadlines have passed, peers seem
/// silent only because this process was not reading, and another node may have
/// taken over its roles.
class pause_detector {
 public:
  /// Two steps that are `pause_threshold` or more apart count as a pause.
  explicit pause_detector(duration pause_threshold)
      : pause_threshold_(pause_threshold) {}

  /// Call it at the start of each step, before using earlier state. Returns
  /// whether the process was paused since the previous step.
  bool Step(time_point now) {
    const bool was_paused = last_step_ && now - *last_step_ >= pause_threshold_;
    last_pause_ = was_paused ? now - *last_step_ : duration::zero();
    pauses_ += was_paused ? 1 : 0;
    last_step_ = now;
    return was_paused;
  }

  /// Returns the length of the pause that the last step detected; zero if none.
  duration LastPause() const { return last_pause_; }

  /// Returns the number of pauses detected since construction.
  unsigned Pauses() const { return pauses_; }

 private:
  duration pause_threshold_;
  std::optional<time_point> last_step_;
  duration last_pause_ = duration::zero();
  unsigned pauses_ = 0;
};

}  // namespace wagtailmount
