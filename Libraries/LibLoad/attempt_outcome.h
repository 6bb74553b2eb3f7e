#pragma once

#include <cstdint>
#include <string_view>

#include "LibRouting/verdict.h"

namespace wagtailmount {

/// How one attempt to send a request to a backend server ended.
enum class attempt_outcome : std::uint8_t {
  kAnswered,               ///< The backend server answered.
  kConnectFailed,          ///< No connection was made in time.
  kClosedBeforeFirstByte,  ///< The connection was lost with nothing written.
  kLostWhileWriting,       ///< Lost with a part of the request written.
  kLostAfterWriting,       ///< Lost with the request written, no answer.
  kAnswerTruncated,        ///< Lost after the answer began.
  kAnswerMalformed,        ///< Not HTTP, or its end is ambiguous.
  kIdMismatch,             ///< The answer has another request's ID.
  kNoAnswerInTime,         ///< Given up at the deadline; may have run.
  kRefusedNotRun,          ///< Refused; it can't be started any more.
  kRefusedMayHaveRun,      ///< Refused; the owner can't rule out a run.
  kBodyLost,               ///< The caller's body was cut off.
};

std::string_view NameOf(attempt_outcome outcome);

/// Why a node answers a request itself instead of forwarding a backend server's
/// answer; its name is sent in the header field "Wagtailmount-Reason".
enum class refusal_cause : std::uint8_t {
  kNone,
  kNoConfiguration,   ///< This node has no configuration in force yet.
  kDraining,          ///< This node or the owner is leaving.
  kNoRoute,           ///< No route matches.
  kNoUpstream,        ///< No upstream is left to try.
  kQueueFull,         ///< The owner's queue is full.
  kTooLate,           ///< Can't be started before the deadline.
  kShed,              ///< The backend server refused it, or its place in the
                      ///< full queue went to a request that is served first.
  kAbandoned,         ///< The requester closed its connection.
  kWrongOwner,        ///< It reached a VM that is not the intended owner.
  kUnreachable,       ///< No connection to any upstream.
  kConnectionLost,    ///< Lost after a part of the request was written.
  kDeadline,          ///< No answer in time.
  kTruncatedAnswer,   ///< The answer was cut off.
  kMalformedAnswer,   ///< The answer can't be forwarded.
  kMismatchedAnswer,  ///< The answer has another request's ID.
  kBodyLost,          ///< The request's body was cut off.
  kOverloaded,        ///< The expected wait is longer than allowed.
  kQuarantined,       ///< It crashes the backend servers that run it.
  kEvacuated,         ///< The owner's failure domain is evacuated.
  kCold,              ///< The backend server is cold and takes no more yet.
  kCallsShort,        ///< A service that it calls is short of room.
  kUnknown,           ///< The owner sent a name that is unknown here.
};

/// The name of `cause` on the wire, such as "queue-full".
std::string_view NameOf(refusal_cause cause);

/// The cause named `name`; kUnknown if there is none.
refusal_cause CauseOf(std::string_view name);

/// The HTTP status of a refusal for `cause`. Callers may read 502 and 504 as
/// "may have run", so these become 503 if `proved` says that it did not run.
unsigned StatusOf(refusal_cause cause, verdict proved);

/// Whether a retry by the caller can succeed, so that it gets a Retry-After.
bool IsCallerRetryUseful(refusal_cause cause);

}  // namespace wagtailmount
