#pragma once

#include <atomic>

#include "LibBase/clock.h"
#include "LibTraffic/http_types.h"

namespace wagtailmount::detail {

/// Permission to keep one idle connection to the backend server; the destructor
/// returns it. Movable.
class keep_permit {
 public:
  keep_permit() = default;
  explicit keep_permit(std::atomic<int>& kept) : kept_(&kept) {}
  keep_permit(keep_permit&& other) noexcept
      : kept_(std::exchange(other.kept_, nullptr)) {}
  keep_permit& operator=(keep_permit&& other) noexcept {
    std::swap(kept_, other.kept_);
    return *this;
  }
  keep_permit(const keep_permit&) = delete;
  keep_permit& operator=(const keep_permit&) = delete;
  ~keep_permit() { Return(); }

  bool IsGiven() const { return kept_ != nullptr; }
  void Return() {
    if (kept_ != nullptr) {
      --*kept_;
      kept_ = nullptr;
    }
  }

 private:
  std::atomic<int>* kept_ = nullptr;  ///< Number of permits in use.
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

  void Close();

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  keep_permit permit;  ///< Held while idle; for the backend server only.
  time_point idle_since{};
  bool is_reused = false;  ///< Has carried an exchange before.
};

}  // namespace wagtailmount::detail
