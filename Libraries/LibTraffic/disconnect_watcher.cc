#include "LibTraffic/disconnect_watcher.h"

namespace wagtailmount::detail {

disconnect_watcher::disconnect_watcher(http_connection& client) {
  shared_->client = &client;
}

disconnect_watcher::~disconnect_watcher() {
  if (is_started_ && !shared_->has_disconnected) {
    error_code ignored;
    shared_->client->stream.socket().cancel(ignored);
  }
  shared_->client = nullptr;
}

void disconnect_watcher::Start() {
  is_started_ = true;
  shared_->client->stream.socket().async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [shared = shared_](error_code failure) {
        const bool is_over = failure || shared->client == nullptr;
        // Bytes of a pipelined request also make the socket readable. While
        // they are unread, waiting for the socket can't detect a later close,
        // so watching ends here.
        if (is_over || !shared->client->HasPeerClosed()) {
          return;
        }
        shared->has_disconnected = true;
        if (shared->connection_to_close != nullptr) {
          shared->connection_to_close->Close();
        }
      });
}

bool disconnect_watcher::HasClientDisconnected() {
  return shared_->has_disconnected || shared_->client->HasPeerClosed();
}

}  // namespace wagtailmount::detail
