#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "LibTraffic/backend_gate.h"
#include "LibTraffic/http_connection.h"

/// Reading and writing of HTTP messages piece by piece, in bounded memory.
namespace wagtailmount::detail {

/// What came of reading a part of a body.
enum class body_status : std::uint8_t {
  kWhole,    ///< The message has ended.
  kMore,     ///< As much as asked for was read; more follows.
  kLost,     ///< The connection was lost, or the peer took too long.
  kInvalid,  ///< Not HTTP, or longer than allowed.
};

/// A request on its way to where it shall run. Its body is either held whole
/// in `body`, or `body` is the beginning and `rest` gives what follows, once.
struct outgoing_request {
  http_request message;
  std::string body;
  http_request_parser* rest = nullptr;
  http_connection* rest_from = nullptr;
  bool is_rest_begun = false;

  /// Whether the whole request can be written once more.
  bool CanRepeat() const { return !is_rest_begun; }
};

/// An answer, held whole or as its beginning and the connection on which the
/// rest follows.
struct incoming_answer {
  http_response message;
  std::string body;
  std::unique_ptr<http_response_parser> rest;
  std::unique_ptr<http_connection> connection;
  backend_slot slot;  ///< Held while the rest still comes.
};

/// Reads a header section of at most `most_bytes`. The connection's expiry must
/// be set before.
template <bool is_request>
task<error_code> ReadHeader(http_connection& connection,
                            http::parser<is_request, http::buffer_body>& parser,
                            std::size_t most_bytes = kMaximumHeaderBytes);

/// Reads the body into `into` until it ends or kRetainedBodyBytes are held.
template <bool is_request>
task<body_status> ReadBodyStart(
    http_connection& connection,
    http::parser<is_request, http::buffer_body>& parser, std::string& into);

/// Reads at least one byte of the body into `piece`, replacing its content, or
/// finds the body's end.
template <bool is_request>
task<body_status> ReadBodyPiece(
    http_connection& connection,
    http::parser<is_request, http::buffer_body>& parser, std::string& piece);

/// How writing a request has ended.
enum class write_status : std::uint8_t {
  kWritten,
  kNothingWritten,  ///< Failed before the first byte.
  kPartlyWritten,
  kBodyLost,  ///< The sender of the body failed, after the first byte.
};

/// Writes `request`, taking the rest of a long body from its sender.
task<write_status> WriteRequest(http_connection& connection,
                                outgoing_request& request);

/// Writes `answer`; false when either side failed, after which the connection
/// must be closed so that the truncation shows.
task<bool> WriteAnswer(http_connection& connection, incoming_answer& answer);

}  // namespace wagtailmount::detail
