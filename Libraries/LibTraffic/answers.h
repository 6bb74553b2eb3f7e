#pragma once

#include <chrono>
#include <string_view>

#include "LibBase/random.h"
#include "LibLoad/attempt_outcome.h"
#include "LibRouting/verdict.h"
#include "LibTraffic/http_message.h"

/// The answers that this node gives by itself, and the finish of those it
/// passes on.
namespace wagtailmount::detail {

/// A refusal to be written to a caller or another node.
struct refusal_answer {
  unsigned status = 503;
  verdict proved = verdict::kNotRun;
  std::string_view reason;
  std::string_view request_id;  ///< Empty when there is none.
  /// 0: coming back makes no sense.
  std::chrono::milliseconds retry_after{0};
  bool is_kept = true;       ///< Whether the connection stays open.
  bool is_head = false;      ///< Answers a HEAD request.
  std::string_view load;     ///< Of this owner; empty when not told.
  bool has_arrived = false;  ///< At a backend server; told to other nodes.
};

/// False when the connection failed.
task<bool> WriteRefusal(http_connection& connection, refusal_answer refusal);

/// Sets the fields of an answer which is passed on: framing, verdict, id and
/// whether the connection stays open.
void FinishAnswer(incoming_answer& answer, std::string_view request_id,
                  bool is_head, bool is_kept);

/// Ends a connection so that the last answer reaches the peer although it is
/// still sending: closes this side, then reads and drops for a short while.
task<void> CloseGently(http_connection& connection);

}  // namespace wagtailmount::detail
