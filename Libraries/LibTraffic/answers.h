#pragma once

#include <chrono>
#include <string_view>

#include "LibBase/random.h"
#include "LibLoad/attempt_outcome.h"
#include "LibRouting/verdict.h"
#include "LibTraffic/close_cause.h"
#include "LibTraffic/http_message.h"

/// Writes the refusals that this node sends itself, and completes the header
/// fields of forwarded answers.
namespace wagtailmount::detail {

/// An error answer that this node itself sends to a caller or another node.
struct refusal_answer {
  unsigned status = 503;
  verdict proved = verdict::kNotRun;
  std::string_view reason;
  std::string_view request_id;  ///< Empty when there is none.
  /// Value of the Retry-After field; 0 leaves the field out.
  std::chrono::milliseconds retry_after{0};
  bool is_kept_alive = true;  ///< Whether the connection stays open.
  bool is_head = false;       ///< The request was HEAD: no body is sent.
  std::string_view load;  ///< Reported load of this owner; empty leaves it out.
  std::string_view clock;  ///< Time of this owner; empty leaves it out.
  bool has_reached_backend_server = false;  ///< With part of the request.
  std::string_view crash_reports;   ///< For another node; empty if none.
  bool is_backend_leaving = false;  ///< By its own answers.
  bool is_closing_notice = false;   ///< See kClosingField.
};

/// How long a connection that is being closed lets its peer go on sending.
inline constexpr std::chrono::milliseconds kLingerTimeout{1'000};

/// Writes a refusal; false when the connection failed.
task<bool> WriteRefusal(http_connection& connection, refusal_answer refusal);

/// Sets the fields of a forwarded answer: framing, verdict, request id and
/// whether the connection stays open.
void FinishAnswer(incoming_answer& answer, std::string_view request_id,
                  bool is_head, bool is_kept_alive);

/// Why a refusal, or `answer`, could not be written to its caller.
cut_cause CauseOfCut(http_connection& caller);
cut_cause CauseOfCut(http_connection& caller, const incoming_answer& answer,
                     time_point now);

/// Closes a connection so that the last answer reaches a peer that is still
/// sending: shuts down the sending side, then reads and discards input for at
/// most `timeout` or 1 MiB. A close with unread input would reset the
/// connection, and the peer could lose the answer.
task<void> LingeringClose(http_connection& connection,
                          duration timeout = kLingerTimeout);

}  // namespace wagtailmount::detail
