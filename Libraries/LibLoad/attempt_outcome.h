#pragma once

#include <cstdint>
#include <string_view>

#include "LibRouting/verdict.h"

namespace wagtailmount {

/// How one attempt to have a request run has ended.
enum class attempt_outcome : std::uint8_t {
  kAnswered,               ///< The backend server's answer came.
  kConnectFailed,          ///< No connection in time.
  kClosedBeforeFirstByte,  ///< The connection was lost with nothing written.
  kLostWhileWriting,       ///< Lost after the first byte, before the last.
  kLostAfterWriting,       ///< Lost after the last byte, with no answer.
  kAnswerTruncated,        ///< Lost in the midst of the answer.
  kAnswerMalformed,        ///< Not HTTP, or without a sure end.
  kIdMismatch,             ///< The answer to another request.
  kNoAnswerInTime,         ///< Given up at the deadline, unconfirmed.
  kRefusedNotRun,          ///< Refused and can no longer be started.
  kRefusedMayHaveRun,      ///< The owner can't tell whether it ran.
  kBodyLost,               ///< The rest of the caller's body did not come.
};

std::string_view NameOf(attempt_outcome outcome);

/// Why a request is answered without an answer of a backend server; the word
/// in the header field "Wagtailmount-Reason".
enum class refusal_cause : std::uint8_t {
  kNone,
  kNoConfiguration,   ///< No version is in force on this node yet.
  kDraining,          ///< This node or the owner is leaving.
  kNoRoute,           ///< No route matches.
  kNoUpstream,        ///< No upstream is left to try.
  kQueueFull,         ///< The owner's queue is full.
  kTooLate,           ///< Can't be started before the deadline.
  kShed,              ///< The backend server refused it, or background work
                      ///< gave way to interactive work.
  kAbandoned,         ///< The asker's connection is closed.
  kWrongOwner,        ///< Sent to a VM that is not the owner meant.
  kUnreachable,       ///< No connection to an upstream.
  kConnectionLost,    ///< Lost after something of the request was written.
  kDeadline,          ///< No answer in time.
  kTruncatedAnswer,   ///< The answer broke off.
  kMalformedAnswer,   ///< The answer is not one that can be passed on.
  kMismatchedAnswer,  ///< The answer to another request.
  kBodyLost,          ///< The request's body broke off.
  kOverloaded,        ///< Would wait for longer than it is worth.
  kUnknown,           ///< The owner gave a word unknown here.
};

/// The word for `cause`, as "queue-full".
std::string_view NameOf(refusal_cause cause);

/// The cause that `word` names; kUnknown for any other.
refusal_cause CauseOf(std::string_view word);

/// The HTTP status that a refusal for `cause` carries. One that a caller may
/// take for "may have run" is used only where that is so.
unsigned StatusOf(refusal_cause cause, verdict proved);

/// Whether a caller may hope for better by coming back.
bool MakesSenseToComeBack(refusal_cause cause);

}  // namespace wagtailmount
