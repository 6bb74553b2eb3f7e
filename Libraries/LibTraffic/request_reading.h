#pragma once

#include "LibConfig/configuration.h"
#include "LibTraffic/http_message.h"
#include "LibTraffic/request_check.h"

namespace wagtailmount::detail {

/// Sets the limits on what the parser accepts.
void SetUp(http_request_parser& parser, const request_limits& limits);

/// Waits for the first byte of the next request; false when the connection
/// ends before one, or none comes within `idle_timeout`.
task<bool> AwaitRequest(http_connection& connection, duration idle_timeout);

/// What is wrong with a request, and whether that can be answered at all.
struct reading_fault {
  bool is_answerable = false;
  form_fault fault;
};

/// Reads and checks the header section of a request.
task<std::optional<reading_fault>> ReadRequestHeader(
    http_connection& connection, http_request_parser& parser,
    const request_limits& limits);

/// Whether the sender waits for "100 Continue" before it sends a body.
bool IsContinueDue(http_request_parser& parser);

/// Moves the header section out of the parser and reads the beginning of the
/// body. No field is removed.
task<body_status> ReadRequestBody(http_connection& connection,
                                  http_request_parser& parser,
                                  outgoing_request& request);

/// Sets the fields that frame the body on the way on. Called last, for the
/// fields of one connection must be gone before.
void SetFraming(outgoing_request& request, http_request_parser& parser);

}  // namespace wagtailmount::detail
