#include "LibTraffic/http_connection.h"

#include <poll.h>

namespace wagtailmount::detail {

bool http_connection::HasPeerClosed() {
  pollfd polled{};
  polled.fd = stream.socket().native_handle();
  polled.events = POLLRDHUP;
  const int ready = ::poll(&polled, 1, 0);
  return ready != 0;
}

void http_connection::Close() {
  error_code ignored;
  stream.socket().close(ignored);
}

}  // namespace wagtailmount::detail
