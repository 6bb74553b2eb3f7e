#pragma once

#include <chrono>
#include <cstdint>

#include "LibBase/clock.h"

namespace wagtailmount {

/// What a stopping node does.
enum class stop_phase : std::uint8_t {
  kNotice,  ///< Serves, and tells callers to close their connections.
  kDrain,   ///< Refuses new requests as not run, and ends those in flight.
  kClose,   ///< Nothing is in flight: closes the idle connections.
  kCut,     ///< The grace period ends: breaks off what is in flight, and the
            ///< close of idle connections.
};

/// When a stopping node does what, counted from the signal to stop. All lie
/// within the grace period, in this order, except that the answers may be due
/// before the idle connections are closed.
struct stop_schedule {
  duration drain_at{};   ///< Refuses new requests as not run from then on.
  duration close_at{};   ///< Closes the idle connections once it is idle.
  duration answer_by{};  ///< Gives the last answers.
  /// How long after that it waits for other nodes to say that a request has not
  /// run.
  duration verdict_wait{};
  duration cut_at{};  ///< Breaks off what has no answer on its way.
  duration end_by{};  ///< Breaks off everything.
};

/// Returns the schedule for a grace period. A request that its backend server
/// works on may take until the last sixth of the period. What is left after the
/// cut lets the process end by itself, also where a small share of a core gives
/// it no turn for some tenths of a second, as far as the period allows.
stop_schedule MakeStopSchedule(std::chrono::milliseconds grace);

/// What the requests in flight are like.
struct stop_progress {
  bool is_idle = false;        ///< There are none.
  bool has_withdrawn = false;  ///< Those that were left have been withdrawn.
  bool is_answering = false;   ///< Answers are on their way to slow readers.
};

/// Returns what a node does `elapsed` after it was told to stop.
stop_phase StopPhaseAt(duration elapsed, const stop_schedule& schedule,
                       const stop_progress& progress);

}  // namespace wagtailmount
