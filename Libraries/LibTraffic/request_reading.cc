#include "LibTraffic/request_reading.h"

#include <boost/asio/write.hpp>

#include "LibTraffic/header_fields.h"
#include "LibTraffic/reading_limit.h"

namespace wagtailmount::detail {

namespace {

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

task<bool> SendContinue(http_connection& sender) {
  error_code failure;
  co_await boost::asio::async_write(
      sender.stream, boost::asio::buffer(kContinue), ReportTo(failure));
  co_return !failure;
}

std::optional<request_read_fault> FaultOf(error_code failure,
                                          http_request_parser& parser) {
  if (failure) {
    const std::optional<request_fault> fault = FaultOfParserError(failure);
    return request_read_fault{fault.has_value(),
                              fault.value_or(request_fault{})};
  }
  if (const std::optional<request_fault> fault = ValidateRequest(parser)) {
    return request_read_fault{true, *fault};
  }
  return std::nullopt;
}

}  // namespace

void ConfigureParser(http_request_parser& parser,
                     const request_limits& limits) {
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
}

task<request_wait> WaitForRequest(http_connection& connection, time_point end) {
  if (connection.buffer.size() > 0) {
    co_return request_wait::kArrived;
  }
  error_code failure;
  {
    const reading_limit limit{connection, end};
    const std::size_t count = co_await connection.stream.async_read_some(
        connection.buffer.prepare(kFirstReadBytes), ReportTo(failure));
    connection.buffer.commit(count);
  }
  if (failure != boost::asio::error::operation_aborted) {
    co_return failure ? request_wait::kClosed : request_wait::kArrived;
  }
  // A busy thread comes late to end the wait.
  co_return connection.ReadAvailable(kFirstReadBytes) ? request_wait::kArrived
                                                      : request_wait::kEnded;
}

task<std::optional<request_read_fault>> ReadRequestHeader(
    http_connection& connection, http_request_parser& parser,
    const request_limits& limits) {
  error_code failure = ParseHeader(connection, parser);
  if (failure || parser.is_header_done()) {
    co_return FaultOf(failure, parser);
  }
  const reading_limit limit{connection,
                            time_point::clock::now() + limits.header_timeout};
  failure = co_await ReadHeader(connection, parser, limits.header_bytes);
  if (failure == boost::asio::error::operation_aborted &&
      connection.is_reading_stopped) {
    failure = boost::beast::error::timeout;
  }
  co_return FaultOf(failure, parser);
}

std::optional<request_read_fault> ParseRequestHeader(
    http_connection& connection, http_request_parser& parser) {
  const error_code failure = ParseHeader(connection, parser);
  return failure || parser.is_header_done() ? FaultOf(failure, parser)
                                            : std::nullopt;
}

bool IsContinueExpected(http_request_parser& parser) {
  return parser.get().find(http::field::expect) != parser.get().end();
}

task<body_status> ReadRequestBody(http_connection& connection,
                                  http_request_parser& parser,
                                  time_point deadline,
                                  outgoing_request& request) {
  std::optional<reading_limit> limit;
  if (!parser.is_done()) {
    limit.emplace(connection, deadline);
  }
  if (IsContinueExpected(parser)) {
    if (!parser.is_done()) {
      const bool is_sent = co_await SendContinue(connection);
      if (!is_sent) {
        co_return body_status::kLost;
      }
    }
    parser.get().erase(http::field::expect);
  }
  // Moved out before the body is read, so that trailer fields are not taken for
  // header fields.
  request.message.base() = std::move(parser.get().base());
  const body_status read_status =
      co_await ReadBodyStart(connection, parser, request.body);
  if (read_status == body_status::kMore) {
    request.remaining_body = &parser;
    request.remaining_body_connection = &connection;
  }
  const bool is_late =
      read_status == body_status::kLost && connection.is_reading_stopped;
  co_return is_late ? body_status::kLate : read_status;
}

request_read_fault FaultOfBody(body_status read_status) {
  switch (read_status) {
    case body_status::kInvalid:
      return {true, {400, "malformed-body"}};
    case body_status::kLate:
      return {true, {408, "body-late"}};
    default:
      return {false, {400, "body-lost"}};
  }
}

void SetFraming(outgoing_request& request, http_request_parser& parser) {
  const bool is_complete = request.remaining_body == nullptr;
  if (is_complete && (parser.chunked() || !request.body.empty())) {
    request.message.content_length(request.body.size());
  } else if (!is_complete && parser.chunked()) {
    request.message.chunked(true);
  }
}

}  // namespace wagtailmount::detail
