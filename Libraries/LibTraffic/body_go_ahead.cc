#include "LibTraffic/body_go_ahead.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "LibTraffic/header_fields.h"

namespace wagtailmount::detail {

namespace {

// Smaller bodies cost a link less time than a round trip takes.
constexpr std::size_t kAnnouncedBodyBytes = std::size_t{16} * 1024;
constexpr std::size_t kFirstReadBytes = 4'096;

using request_serializer = http::request_serializer<http::buffer_body>;

// Reads until the status code is in the buffer; false if the connection is lost
// before. Consumes nothing, so that a final answer is read like any other.
task<bool> WaitForStatus(http_connection& connection) {
  constexpr std::size_t kStatusEnd = 12;  // "HTTP/1.1 100"
  error_code failure;
  while (!failure && connection.buffer.size() < kStatusEnd) {
    const std::size_t count = co_await connection.stream.async_read_some(
        connection.buffer.prepare(kFirstReadBytes), ReportTo(failure));
    connection.buffer.commit(count);
  }
  co_return !failure;
}

bool IsInterimBuffered(const http_connection& connection) {
  constexpr std::size_t kStatusBegin = 9;
  const auto* const bytes =
      static_cast<const char*>(connection.buffer.data().data());
  return bytes[kStatusBegin] == '1';
}

// Waits so that no more than `rate` bytes a second are sent.
class pace {
 public:
  explicit pace(std::uint64_t rate)
      : rate_(rate), begin_(time_point::clock::now()) {}

  std::size_t PieceSize() const {
    return rate_ == 0
               ? kStreamedPieceBytes
               : std::min<std::size_t>(kStreamedPieceBytes, PieceBytes(rate_));
  }

  task<void> Wait(http_connection& connection, std::uint64_t sent) const {
    if (rate_ == 0) {
      co_return;
    }
    const std::chrono::duration<double> due{static_cast<double>(sent) /
                                            static_cast<double>(rate_)};
    boost::asio::steady_timer timer{connection.stream.get_executor()};
    timer.expires_at(begin_ + std::chrono::duration_cast<duration>(due));
    error_code ignored;
    co_await timer.async_wait(ReportTo(ignored));
  }

 private:
  std::uint64_t rate_;
  time_point begin_;
};

// Writes `bytes` in pieces; `more` tells whether the body goes on after them.
task<error_code> WritePieces(http_connection& connection,
                             outgoing_request& request,
                             request_serializer& serializer, const pace& paced,
                             std::string& bytes, bool more,
                             std::uint64_t& sent) {
  auto& body = request.message.body();
  error_code failure;
  std::size_t offset = 0;
  do {
    const std::size_t count =
        std::min(paced.PieceSize(), bytes.size() - offset);
    const bool is_last = offset + count == bytes.size();
    body.data = count == 0 ? nullptr : bytes.data() + offset;
    body.size = count;
    body.more = more || !is_last;
    co_await http::async_write(connection.stream, serializer,
                               ReportTo(failure));
    offset += count;
    sent += count;
    if (failure == http::error::need_buffer) {
      failure = {};
      co_await paced.Wait(connection, sent);
    }
  } while (!failure && offset < bytes.size());
  co_return failure;
}

task<write_status> WriteBody(http_connection& connection,
                             outgoing_request& request,
                             request_serializer& serializer, std::uint64_t rate,
                             time_point deadline) {
  connection.AllowSlowReading(deadline);
  const pace paced{rate};
  std::uint64_t sent = 0;
  bool more = request.remaining_body != nullptr;
  error_code failure = co_await WritePieces(connection, request, serializer,
                                            paced, request.body, more, sent);
  while (!failure && more) {
    request.is_remaining_body_started = true;
    std::string piece;
    const body_status read_status =
        co_await ReadPieceFromSender(request, deadline, piece);
    if (read_status == body_status::kLost ||
        read_status == body_status::kInvalid) {
      co_return write_status::kBodyLost;
    }
    more = read_status == body_status::kMore;
    failure = co_await WritePieces(connection, request, serializer, paced,
                                   piece, more, sent);
  }
  co_return failure ? write_status::kPartlyWritten : write_status::kWritten;
}

}  // namespace

bool IsBodyAnnounced(const outgoing_request& request) {
  return request.remaining_body != nullptr ||
         request.body.size() >= kAnnouncedBodyBytes;
}

task<announced_write> WriteAnnounced(http_connection& connection,
                                     outgoing_request& request,
                                     time_point deadline) {
  announced_write result;
  request.message.set(http::field::expect, "100-continue");
  request_serializer serializer{request.message};
  serializer.split(true);
  error_code failure;
  co_await http::async_write_header(connection.stream, serializer,
                                    ReportTo(failure));
  // The field belongs to this attempt only.
  request.message.erase(http::field::expect);
  if (failure) {
    co_return result;
  }
  const bool has_status = co_await WaitForStatus(connection);
  if (!has_status) {
    co_return result;
  }
  if (!IsInterimBuffered(connection)) {
    result.is_answered = true;
    co_return result;
  }
  http_response_parser parser;
  parser.header_limit(kMaximumHeaderBytes);
  failure = co_await ReadHeader(connection, parser);
  if (failure) {
    co_return result;
  }
  const std::uint64_t rate =
      ParseNumber(FieldOf(parser.get(), kBodyRateField)).value_or(0);
  result.written =
      co_await WriteBody(connection, request, serializer, rate, deadline);
  co_return result;
}

task<bool> SendGoAhead(http_connection& sender, std::uint64_t bytes_a_second) {
  std::string text = "HTTP/1.1 100 Continue\r\n";
  if (bytes_a_second > 0) {
    text += kBodyRateField;
    text += ": " + std::to_string(bytes_a_second) + "\r\n";
  }
  text += "\r\n";
  error_code failure;
  co_await boost::asio::async_write(sender.stream, boost::asio::buffer(text),
                                    ReportTo(failure));
  co_return !failure;
}

}  // namespace wagtailmount::detail
