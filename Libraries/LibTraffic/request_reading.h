#pragma once

#include "LibConfig/configuration.h"
#include "LibTraffic/http_message.h"
#include "LibTraffic/request_check.h"

namespace wagtailmount::detail {

/// Sets the size limits of the parser.
void ConfigureParser(http_request_parser& parser, const request_limits& limits);

/// How much is read of a request at first.
inline constexpr std::size_t kFirstReadBytes = 4096;

/// How the wait for a request ended.
enum class request_wait : std::uint8_t {
  kArrived,  ///< Its first bytes are in the connection's buffer.
  kClosed,   ///< The peer closed the connection, or it failed.
  kEnded,    ///< Nothing had arrived by the end, or when it was cancelled.
};

/// Waits for the first byte of the next request until `end`.
task<request_wait> WaitForRequest(http_connection& connection, time_point end);

/// Why reading a request failed, and whether an answer can be sent.
struct request_read_fault {
  bool is_answerable = false;
  request_fault fault;
};

/// Reads and checks the header section of a request.
task<std::optional<request_read_fault>> ReadRequestHeader(
    http_connection& connection, http_request_parser& parser,
    const request_limits& limits);

/// Parses what the connection's buffer holds of a header section, and checks it
/// once it is complete; reads nothing.
std::optional<request_read_fault> ParseRequestHeader(
    http_connection& connection, http_request_parser& parser);

/// Whether the sender waits for "100 Continue" before it sends a body.
bool IsContinueExpected(http_request_parser& parser);

/// Moves the header section out of the parser and reads the beginning of the
/// body, until `deadline` at the latest. Sends "100 Continue" first if the
/// sender waits for it, and removes the Expect field; all other fields stay.
task<body_status> ReadRequestBody(http_connection& connection,
                                  http_request_parser& parser,
                                  time_point deadline,
                                  outgoing_request& request);

/// Why a request is refused whose body was read with this result, which is
/// neither kComplete nor kMore.
request_read_fault FaultOfBody(body_status read_status);

/// Sets the fields that delimit the body when the request is forwarded. Must be
/// called after the hop-by-hop fields were removed.
void SetFraming(outgoing_request& request, http_request_parser& parser);

}  // namespace wagtailmount::detail
