#include "LibTraffic/http_connection.h"

#include <poll.h>

namespace wagtailmount::detail {

namespace {

bool IsReadyFor(decltype(pollfd::events) events, int socket) {
  pollfd polled{};
  polled.fd = socket;
  polled.events = events;
  return ::poll(&polled, 1, 0) != 0;
}

}  // namespace

bool http_connection::HasPeerClosed() {
  return IsReadyFor(POLLRDHUP, stream.socket().native_handle());
}

bool http_connection::IsUnusable() {
  return buffer.size() > 0 ||
         IsReadyFor(POLLIN | POLLRDHUP, stream.socket().native_handle());
}

void http_connection::Close() {
  error_code ignored;
  stream.socket().close(ignored);
}

}  // namespace wagtailmount::detail
