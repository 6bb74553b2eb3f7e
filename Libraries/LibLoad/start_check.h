#pragma once

#include <chrono>

#include "LibBase/clock.h"
#include "LibLoad/attempt_outcome.h"

namespace wagtailmount {

/// How long an owner still starts requests after learning that its backend
/// server is leaving, of those that were sent before others learned of it. It
/// may learn that late itself, and both together are within the platform's
/// limit for a leaving backend server.
inline constexpr std::chrono::milliseconds kLeavingGracePeriod{150};

/// What is known about a request, and about the backend server, at the moment
/// before the request is written to the backend server.
struct start_conditions {
  time_point deadline;  ///< When the requester stops waiting.
  bool has_requester_left = false;
  /// When the owner learned that its backend server is leaving; zero if it is
  /// not.
  time_point leaving_since{};
  /// The failure domain of the backend server is evacuated.
  bool is_evacuated = false;
};

/// Returns why a request must not start at the backend server, or kNone. To be
/// asked last, after every wait: for a slot, for a connection, for the thread's
/// turn. Each of them may outlast the deadline, the requester or the backend
/// server's time to serve.
refusal_cause CauseNotToStart(time_point now,
                              const start_conditions& conditions);

}  // namespace wagtailmount
