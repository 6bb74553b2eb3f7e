#include "LibTraffic/departure_watch.h"

namespace wagtailmount::detail {

departure_watch::departure_watch(http_connection& asker) {
  shared_->asker = &asker;
}

departure_watch::~departure_watch() {
  if (is_started_ && !shared_->has_left) {
    error_code ignored;
    shared_->asker->stream.socket().cancel(ignored);
  }
  shared_->asker = nullptr;
}

void departure_watch::Start() {
  is_started_ = true;
  shared_->asker->stream.socket().async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [shared = shared_](error_code failure) {
        const bool is_over = failure || shared->asker == nullptr;
        // Bytes of a pipelined request also make the socket readable. While
        // they are unread, waiting for the socket can't detect a later close,
        // so watching ends here.
        if (is_over || !shared->asker->HasPeerClosed()) {
          return;
        }
        shared->has_left = true;
        if (shared->guarded != nullptr) {
          shared->guarded->Close();
        }
      });
}

bool departure_watch::HasLeft() {
  return shared_->has_left || shared_->asker->HasPeerClosed();
}

}  // namespace wagtailmount::detail
