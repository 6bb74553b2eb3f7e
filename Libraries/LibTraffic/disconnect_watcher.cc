#include "LibTraffic/disconnect_watcher.h"

namespace wagtailmount::detail {

disconnect_watcher::disconnect_watcher(http_connection& client)
    : shared_(std::make_shared<shared_state>()), state_(*shared_) {
  state_.client = &client;
}

disconnect_watcher::disconnect_watcher(http_connection& client,
                                       client_watch& shared)
    : state_(own_), watch_(&shared) {
  state_.client = &client;
}

disconnect_watcher::~disconnect_watcher() {
  if (is_started_ && watch_ != nullptr) {
    watch_->Remove(*this);
  } else if (is_started_ && !state_.has_disconnected) {
    error_code ignored;
    state_.client->stream.socket().cancel(ignored);
  }
  state_.client = nullptr;
}

void disconnect_watcher::Start() {
  is_started_ = true;
  if (watch_ != nullptr) {
    watch_->Add(*this);
    return;
  }
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
        shared->Disconnect();
      });
}

void disconnect_watcher::CloseOnDisconnect(http_connection* connection,
                                           withdrawal when_withdrawn) {
  state_.connection_to_close = connection;
  state_.when_withdrawn = when_withdrawn;
  if (state_.has_disconnected || state_.is_withdrawn) {
    state_.Close();
  }
}

void disconnect_watcher::CallOnDisconnect(std::function<void()> action) {
  state_.on_disconnect = std::move(action);
  if (state_.on_disconnect && state_.has_disconnected) {
    state_.on_disconnect();
  }
}

void disconnect_watcher::StopReadingOnWithdrawal(http_connection* sender) {
  sender_ = sender;
  if (sender_ != nullptr && state_.is_withdrawn) {
    sender_->StopReading();
  }
}

void disconnect_watcher::Disconnect() { state_.Disconnect(); }

void disconnect_watcher::Withdraw() {
  state_.is_withdrawn = true;
  if (state_.connection_to_close != nullptr &&
      state_.when_withdrawn == withdrawal::kCallOff) {
    state_.connection_to_close->EndSending();
  } else {
    state_.Close();
  }
  if (sender_ != nullptr) {
    sender_->StopReading();
  }
}

bool disconnect_watcher::HasClientDisconnected() {
  return state_.has_disconnected || state_.client->HasPeerClosed();
}

void disconnect_watcher::shared_state::Disconnect() {
  has_disconnected = true;
  Close();
  if (on_disconnect) {
    on_disconnect();
  }
}

void disconnect_watcher::shared_state::Close() {
  if (connection_to_close != nullptr) {
    connection_to_close->Close();
  }
}

}  // namespace wagtailmount::detail
