#include "LibTraffic/http_connection.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <limits>

namespace wagtailmount::detail {

namespace {

bool IsReadyFor(decltype(pollfd::events) events, int socket) {
  pollfd polled{};
  polled.fd = socket;
  polled.events = events;
  return ::poll(&polled, 1, 0) != 0;
}

constexpr int kMostUnsentBytes = 4 * 1024 * 1024;

// What the kernel makes of kMostUnsentBytes: its administrator limits it, and
// it adds room for its own records. Zero if it can't be asked.
int LargestSendBuffer() {
  const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
  ::setsockopt(probe, SOL_SOCKET, SO_SNDBUF, &kMostUnsentBytes,
               sizeof kMostUnsentBytes);
  int largest = 0;
  socklen_t size = sizeof largest;
  const bool is_known =
      ::getsockopt(probe, SOL_SOCKET, SO_SNDBUF, &largest, &size) == 0;
  ::close(probe);
  return is_known ? largest : 0;
}

// Zero if the kernel doesn't tell.
int UnsentBytes(int socket) {
  int bytes = 0;
  return ::ioctl(socket, SIOCOUTQNSD, &bytes) == 0 ? bytes : 0;
}

}  // namespace

bool http_connection::HasPeerClosed() {
  return IsReadyFor(POLLRDHUP, stream.socket().native_handle());
}

bool http_connection::HasArrived() {
  return buffer.size() > 0 ||
         IsReadyFor(POLLIN, stream.socket().native_handle());
}

bool http_connection::IsUnusable() {
  return buffer.size() > 0 ||
         IsReadyFor(POLLIN | POLLRDHUP, stream.socket().native_handle());
}

bool http_connection::ReadAvailable(std::size_t maximum_bytes) {
  const auto space = buffer.prepare(maximum_bytes);
  const auto count = ::recv(stream.socket().native_handle(), space.data(),
                            space.size(), MSG_DONTWAIT);
  buffer.commit(count > 0 ? static_cast<std::size_t>(count) : 0);
  return count > 0;
}

void http_connection::SetUnacknowledgedTimeout(duration timeout) {
  const auto whole =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  // Zero would stand for the system's default.
  const auto milliseconds = static_cast<unsigned>(
      std::clamp<std::int64_t>(whole, 1, std::numeric_limits<int>::max()));
  ::setsockopt(stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &milliseconds, sizeof milliseconds);
}

void http_connection::AllowSlowReading(time_point deadline) {
  SetUnacknowledgedTimeout(deadline - time_point::clock::now() +
                           kUnacknowledgedTimeout);
}

void http_connection::BufferUnsent() {
  using boost::asio::socket_base;
  static const int largest = LargestSendBuffer();
  error_code failure;
  socket_base::send_buffer_size current;
  stream.socket().get_option(current, failure);
  // Setting it ends the kernel's own adjustment, which may have gone further.
  if (!failure && current.value() < largest) {
    stream.socket().set_option(socket_base::send_buffer_size{kMostUnsentBytes},
                               failure);
  }
}

void http_connection::StopReading() {
  is_reading_stopped = true;
  stream.cancel();
}

void http_connection::EndSending() {
  error_code ignored;
  stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                           ignored);
}

void http_connection::Close() {
  error_code ignored;
  stream.socket().close(ignored);
}

void http_connection::Abandon() {
  using boost::asio::socket_base;
  error_code ignored;
  if (stream.socket().is_open() &&
      UnsentBytes(stream.socket().native_handle()) > 0) {
    stream.socket().set_option(socket_base::linger{true, 0}, ignored);
  }
  Close();
}

}  // namespace wagtailmount::detail
