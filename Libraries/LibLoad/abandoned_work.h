#pragma once

#include <cstddef>
#include <optional>
#include <set>

#include "LibBase/clock.h"

namespace wagtailmount {

/// Counts the requests that were given up on, at the deadline or because their
/// callers left, and that may still run at the backend server: not every one
/// drops a request when its connection closes.
///
/// Handles this load pattern: many requests that are given up on, one after the
/// other, at a backend server that runs each to its end. Started at the pace at
/// which they are given up on, they would fill its own queue, and some backend
/// servers never answer what they can't queue.
class abandoned_work {
 public:
  /// One more was given up on. `mean` is the time that its kind takes, zero if
  /// that is unknown.
  void Add(time_point now, duration mean);

  /// How many may still run.
  std::size_t Held(time_point now) const;

  /// When the next of them has ended at the latest; none if none is left.
  std::optional<time_point> NextEnd(time_point now) const;

 private:
  std::multiset<time_point> ends_;  ///< Those before the last Add() are gone.
};

/// Whether a request may start at a backend server with `slots`, where
/// `running` requests run and `held` more may still run. It queues a few
/// itself: so many of the abandoned ones take no slot.
bool HasFreeSlot(std::size_t slots, std::size_t running, std::size_t held);

}  // namespace wagtailmount
