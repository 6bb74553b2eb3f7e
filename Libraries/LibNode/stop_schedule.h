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
  kCut,     ///< The grace period ends: breaks off what is in flight.
};

/// Returns what a node does `elapsed` after it was told to stop. It cuts early
/// enough to end by itself within `grace`, also where a process on a small
/// share of a core gets no turn for some tenths of a second.
stop_phase StopPhaseAt(duration elapsed, std::chrono::milliseconds grace,
                       bool is_idle);

/// Returns how long after it was told to stop a node may take for the last
/// answers: until shortly before the cut.
duration AnswerPeriod(std::chrono::milliseconds grace);

}  // namespace wagtailmount
