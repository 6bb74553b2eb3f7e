#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibLoad/request_fingerprint.h"
#include "LibTraffic/backend_gate.h"
#include "LibTraffic/http_connection.h"

/// Streaming of HTTP messages in bounded memory.
namespace wagtailmount::detail {

/// The result of reading part of a body.
enum class body_status : std::uint8_t {
  kComplete,  ///< The message has ended.
  kMore,      ///< The requested part was read; more follows.
  kLost,      ///< The connection was lost, or the peer was too slow.
  kLate,      ///< Not sent in time by a peer that can still be answered.
  kInvalid,   ///< Malformed, or longer than allowed.
};

/// A request to be forwarded. `body` holds either the complete body, or its
/// beginning while the rest is streamed from the sender; that can be done only
/// once.
struct outgoing_request {
  http_request message;
  std::string body;
  http_request_parser* remaining_body = nullptr;
  http_connection* remaining_body_connection = nullptr;
  bool is_remaining_body_started = false;

  /// Whether the request can be sent again: no streamed part of the body has
  /// been read yet.
  bool CanResend() const { return !is_remaining_body_started; }
};

/// An answer: either complete, or the beginning of its body and the connection
/// from which the rest is streamed.
struct incoming_answer {
  http_response message;
  std::string body;
  std::unique_ptr<http_response_parser> remaining_body;
  std::unique_ptr<http_connection> connection;
  /// When no more of it is waited for; until then the reader may be slow.
  time_point rest_by{};
  backend_slot slot;  ///< Held until the rest has been streamed.
  /// Of a request that may crash backend servers; once the rest has been
  /// streamed, the answer speaks for it.
  std::optional<request_fingerprint> suspect;

  /// The rest has been read: gives back what it held of the backend server.
  void EndRest() {
    remaining_body.reset();
    connection.reset();
    slot = {};
  }
};

/// Reads a header section of at most `maximum_bytes`. The timeout must be set
/// on the connection before the call.
template <bool is_request>
task<error_code> ReadHeader(http_connection& connection,
                            http::parser<is_request, http::buffer_body>& parser,
                            std::size_t maximum_bytes = kMaximumHeaderBytes);

/// Parses what the connection's buffer holds of a request's header section;
/// reads nothing.
error_code ParseHeader(http_connection& connection,
                       http_request_parser& parser);

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

/// The result of writing a request.
enum class write_status : std::uint8_t {
  kWritten,
  kNothingWritten,  ///< Failed before the first byte was written.
  kPartlyWritten,
  kBodyLost,  ///< Its sender failed after the first byte was written.
};

/// Reads the next piece of a long body from its sender, until `deadline` at the
/// latest. The sender can still be answered then.
task<body_status> ReadPieceFromSender(outgoing_request& request,
                                      time_point deadline, std::string& piece);

/// Writes `request`, streaming the rest of a long body from its sender. The
/// timeout must be set on the connection before the call; the peer may be as
/// slow as it allows.
task<write_status> WriteRequest(http_connection& connection,
                                outgoing_request& request, time_point deadline);

/// Reads the rest of `answer` until it ends, or the node holds `maximum_bytes`
/// of its body; gives up at its end of time.
task<body_status> HoldRest(incoming_answer& answer, std::size_t maximum_bytes);

/// Writes `answer`; false when either side failed, or the rest had not ended in
/// time, be it that the peer reads too slowly. The connection must then be
/// closed, so that the peer detects the truncation. Once all of the answer is
/// held here, the peer may take longer.
task<bool> WriteAnswer(http_connection& connection, incoming_answer& answer);

}  // namespace wagtailmount::detail
