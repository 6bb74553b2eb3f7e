#pragma once

#include <atomic>
#include <string>

#include "LibBase/clock.h"
#include "LibTraffic/http_types.h"

namespace wagtailmount::detail {

/// Permission to keep one idle connection to the backend server; the destructor
/// returns it. Movable.
class idle_connection_permit {
 public:
  idle_connection_permit() = default;
  explicit idle_connection_permit(std::atomic<int>& permits_in_use)
      : permits_in_use_(&permits_in_use) {}
  idle_connection_permit(idle_connection_permit&& other) noexcept
      : permits_in_use_(std::exchange(other.permits_in_use_, nullptr)) {}
  idle_connection_permit& operator=(idle_connection_permit&& other) noexcept {
    std::swap(permits_in_use_, other.permits_in_use_);
    return *this;
  }
  idle_connection_permit(const idle_connection_permit&) = delete;
  idle_connection_permit& operator=(const idle_connection_permit&) = delete;
  ~idle_connection_permit() { Return(); }

  bool IsHeld() const { return permits_in_use_ != nullptr; }
  void Return() {
    if (permits_in_use_ != nullptr) {
      --*permits_in_use_;
      permits_in_use_ = nullptr;
    }
  }

 private:
  std::atomic<int>* permits_in_use_ = nullptr;  ///< Number of permits in use.
};

/// One HTTP connection, and the bytes received on it that are not parsed yet.
struct http_connection {
  explicit http_connection(boost::asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}
  explicit http_connection(const boost::asio::any_io_executor& executor)
      : stream(executor) {}

  /// True when the peer has closed its side or the connection has failed, as
  /// far as the kernel knows now. Never blocks. Also detects a close that comes
  /// after bytes not read yet.
  bool HasPeerClosed();

  /// True when bytes or the peer's close wait to be read. Never blocks.
  bool HasArrived();

  /// True when an idle connection can't be used again: the peer has closed it,
  /// or has sent bytes that belong to no request, such as a second copy of its
  /// last answer. Never blocks.
  bool IsUnusable();

  /// Reads what has arrived, at most `maximum_bytes`; false if nothing has.
  /// Never blocks.
  bool ReadAvailable(std::size_t maximum_bytes);

  /// Sets TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged, or the
  /// peer keep its receive window closed, before the kernel ends the
  /// connection.
  void SetUnacknowledgedTimeout(duration timeout);

  /// Prepares for a long body, which the peer may read as slowly as it likes
  /// until `deadline`: the kernel counts a window that is closed for a while
  /// like a peer that is gone.
  void AllowSlowReading(time_point deadline);

  /// Lets the kernel take as much of what is written as it can. A peer that
  /// reads slowly gets that even after this process has ended.
  void BufferUnsent();

  /// Ends what waits for bytes, and every later read of a message, but leaves
  /// the connection open, so that its peer can still be answered. The expiry of
  /// the stream would close it.
  void StopReading();

  /// Closes the sending side only.
  void EndSending();

  void Close();

  /// Closes the connection so that the peer sees it at once, also if it has not
  /// read what was sent before: while bytes are held back by a full receive
  /// window, the connection is reset, as a close would queue behind them.
  void Abandon();

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  idle_connection_permit permit;  ///< Held while idle; backend server only.
  /// When it was opened; backend server only.
  time_point opened_at{};
  time_point idle_since{};
  /// How long the peer keeps it open while it is idle, as far as it says so.
  duration stated_idle_timeout = duration::max();
  bool is_reused = false;           ///< Has carried an exchange before.
  bool is_reading_stopped = false;  ///< See StopReading().
  /// X-Request-Id of the last complete exchange, by which a second copy of its
  /// answer is recognized; empty before the first.
  std::string last_request_id;
};

}  // namespace wagtailmount::detail
