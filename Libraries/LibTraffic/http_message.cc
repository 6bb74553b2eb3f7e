#include "LibTraffic/http_message.h"

#include <algorithm>

#include "LibTraffic/reading_limit.h"

namespace wagtailmount::detail {

namespace {

// Initial buffer size for a body of unknown length.
constexpr std::size_t kInitialBodyBytes = 2048;
constexpr std::size_t kReadBufferBytes = 16384;
// Maximum length of what frames a body: the line before a chunk, or the trailer
// section. The same as for a header section.
constexpr std::size_t kMaximumFramingBytes = kMaximumHeaderBytes;

task<error_code> ReadMore(http_connection& connection) {
  if (connection.is_reading_stopped) {
    co_return boost::asio::error::operation_aborted;
  }
  error_code failure;
  const std::size_t count = co_await connection.stream.async_read_some(
      connection.buffer.prepare(kReadBufferBytes), ReportTo(failure));
  connection.buffer.commit(count);
  co_return failure;
}

// Parses the buffered bytes.
template <bool is_request>
error_code Parse(http_connection& connection,
                 http::parser<is_request, http::buffer_body>& parser) {
  error_code failure;
  const std::size_t used = parser.put(connection.buffer.data(), failure);
  connection.buffer.consume(used);
  const bool is_normal =
      failure == http::error::need_more || failure == http::error::need_buffer;
  return is_normal ? error_code{} : failure;
}

// Reads at least one byte of the body into `target` from offset `from` on, or
// finds the body's end; returns the number of bytes that `target` then holds.
template <bool is_request>
task<std::pair<body_status, std::size_t>> FillBody(
    http_connection& connection,
    http::parser<is_request, http::buffer_body>& parser, std::string& target,
    std::size_t from) {
  auto& body = parser.get().body();
  body.data = target.data() + from;
  body.size = target.size() - from;
  while (!parser.is_done() && body.size == target.size() - from) {
    if (connection.buffer.size() > 0) {
      const std::size_t before = connection.buffer.size();
      if (Parse(connection, parser)) {
        co_return std::pair{body_status::kInvalid, from};
      }
      if (connection.buffer.size() != before) {
        continue;
      }
      // The parser waits for the end of the framing, which may never come.
      if (connection.buffer.size() > kMaximumFramingBytes) {
        co_return std::pair{body_status::kInvalid, from};
      }
    }
    const error_code failure = co_await ReadMore(connection);
    // A body without a length ends when the connection is closed, but a reset
    // means that it was truncated.
    if (failure == boost::asio::error::eof && parser.need_eof()) {
      error_code malformed;
      parser.put_eof(malformed);
      if (malformed) {
        co_return std::pair{body_status::kInvalid, from};
      }
      break;
    }
    if (failure) {
      co_return std::pair{body_status::kLost, from};
    }
  }
  const std::size_t held = target.size() - body.size;
  const bool is_complete = parser.is_done();
  co_return std::pair{is_complete ? body_status::kComplete : body_status::kMore,
                      held};
}

template <bool is_request>
std::size_t InitialBodySize(
    http::parser<is_request, http::buffer_body>& parser) {
  const auto length = parser.content_length();
  if (!length) {
    return kInitialBodyBytes;
  }
  return std::min<std::uint64_t>(*length, kRetainedBodyBytes);
}

}  // namespace

template <bool is_request>
task<error_code> ReadHeader(http_connection& connection,
                            http::parser<is_request, http::buffer_body>& parser,
                            std::size_t maximum_bytes) {
  while (!parser.is_header_done()) {
    if (connection.buffer.size() > 0) {
      const error_code malformed = Parse(connection, parser);
      if (malformed) {
        co_return malformed;
      }
      if (parser.is_header_done()) {
        break;
      }
    }
    if (connection.buffer.size() > maximum_bytes) {
      co_return make_error_code(http::error::header_limit);
    }
    const error_code failure = co_await ReadMore(connection);
    if (failure) {
      co_return failure;
    }
  }
  parser.eager(true);
  co_return error_code{};
}

error_code ParseHeader(http_connection& connection,
                       http_request_parser& parser) {
  const error_code malformed = Parse(connection, parser);
  if (parser.is_header_done()) {
    parser.eager(true);
  }
  return malformed;
}

template <bool is_request>
task<body_status> ReadBodyStart(
    http_connection& connection,
    http::parser<is_request, http::buffer_body>& parser, std::string& into) {
  std::size_t held = 0;
  if (!parser.is_done()) {
    into.resize(InitialBodySize(parser));
  }
  while (!parser.is_done()) {
    if (held == into.size()) {
      if (held >= kRetainedBodyBytes) {
        co_return body_status::kMore;
      }
      into.resize(std::min(kRetainedBodyBytes,
                           std::max(kInitialBodyBytes, 4 * into.size())));
    }
    const auto filled = co_await FillBody(connection, parser, into, held);
    held = filled.second;
    if (filled.first == body_status::kLost ||
        filled.first == body_status::kInvalid) {
      co_return filled.first;
    }
  }
  into.resize(held);
  co_return body_status::kComplete;
}

template <bool is_request>
task<body_status> ReadBodyPiece(
    http_connection& connection,
    http::parser<is_request, http::buffer_body>& parser, std::string& piece) {
  piece.resize(kStreamedPieceBytes);
  const auto filled = co_await FillBody(connection, parser, piece, 0);
  piece.resize(filled.second);
  co_return filled.first;
}

template task<error_code> ReadHeader<true>(http_connection&,
                                           http_request_parser&, std::size_t);
template task<error_code> ReadHeader<false>(http_connection&,
                                            http_response_parser&, std::size_t);
template task<body_status> ReadBodyStart<true>(http_connection&,
                                               http_request_parser&,
                                               std::string&);
template task<body_status> ReadBodyStart<false>(http_connection&,
                                                http_response_parser&,
                                                std::string&);
template task<body_status> ReadBodyPiece<true>(http_connection&,
                                               http_request_parser&,
                                               std::string&);
template task<body_status> ReadBodyPiece<false>(http_connection&,
                                                http_response_parser&,
                                                std::string&);

namespace {

// Passes an empty piece as null: as an empty buffer it would be written as the
// last chunk.
void SetBodyPiece(http::buffer_body::value_type& body, std::string& bytes,
                  bool more) {
  body.data = bytes.empty() ? nullptr : bytes.data();
  body.size = bytes.size();
  body.more = more;
}

// A slow reader may take all the time of its request, but holds the backend
// server for no longer. What is held here may take longer.
time_point WriteBy(const incoming_answer& answer) {
  if (answer.remaining_body != nullptr) {
    return answer.rest_by;
  }
  return std::max<time_point>(time_point::clock::now() + kBodyPieceTimeout,
                              answer.rest_by);
}

}  // namespace

task<body_status> ReadPieceFromSender(outgoing_request& request,
                                      time_point deadline, std::string& piece) {
  http_connection& sender = *request.remaining_body_connection;
  const reading_limit limit{sender, deadline};
  co_return co_await ReadBodyPiece(sender, *request.remaining_body, piece);
}

task<write_status> WriteRequest(http_connection& connection,
                                outgoing_request& request,
                                time_point deadline) {
  auto& body = request.message.body();
  SetBodyPiece(body, request.body, request.remaining_body != nullptr);
  http::request_serializer<http::buffer_body> serializer{request.message};
  error_code failure;
  std::size_t written = co_await http::async_write(
      connection.stream, serializer, ReportTo(failure));
  while (failure == http::error::need_buffer) {
    request.is_remaining_body_started = true;
    std::string piece;
    const body_status read_status =
        co_await ReadPieceFromSender(request, deadline, piece);
    if (read_status == body_status::kLost ||
        read_status == body_status::kInvalid) {
      co_return write_status::kBodyLost;
    }
    SetBodyPiece(body, piece, read_status == body_status::kMore);
    written += co_await http::async_write(connection.stream, serializer,
                                          ReportTo(failure));
  }
  if (!failure) {
    co_return write_status::kWritten;
  }
  co_return written == 0 ? write_status::kNothingWritten
                         : write_status::kPartlyWritten;
}

task<body_status> HoldRest(incoming_answer& answer, std::size_t maximum_bytes) {
  answer.connection->stream.expires_at(answer.rest_by);
  body_status read_status = body_status::kMore;
  std::string piece;
  while (read_status == body_status::kMore &&
         answer.body.size() < maximum_bytes) {
    read_status = co_await ReadBodyPiece(*answer.connection,
                                         *answer.remaining_body, piece);
    answer.body += piece;
  }
  if (read_status == body_status::kComplete) {
    answer.EndRest();
  }
  co_return read_status;
}

task<bool> WriteAnswer(http_connection& connection, incoming_answer& answer) {
  auto& body = answer.message.body();
  SetBodyPiece(body, answer.body, answer.remaining_body != nullptr);
  http::response_serializer<http::buffer_body> serializer{answer.message};
  error_code failure;
  connection.stream.expires_at(WriteBy(answer));
  co_await http::async_write(connection.stream, serializer, ReportTo(failure));
  while (failure == http::error::need_buffer) {
    if (time_point::clock::now() >= answer.rest_by) {
      co_return false;
    }
    std::string piece;
    answer.connection->stream.expires_at(answer.rest_by);
    const body_status read_status = co_await ReadBodyPiece(
        *answer.connection, *answer.remaining_body, piece);
    if (read_status == body_status::kLost ||
        read_status == body_status::kInvalid) {
      co_return false;
    }
    SetBodyPiece(body, piece, read_status == body_status::kMore);
    if (read_status == body_status::kComplete) {
      answer.EndRest();
    }
    connection.stream.expires_at(WriteBy(answer));
    co_await http::async_write(connection.stream, serializer,
                               ReportTo(failure));
  }
  co_return !failure;
}

}  // namespace wagtailmount::detail
