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
    state_.poll_timer.reset();
  }
  state_.client = nullptr;
}

void disconnect_watcher::Start() {
  is_started_ = true;
  if (watch_ != nullptr) {
    watch_->Add(*this);
    return;
  }
  WaitForClose(shared_);
}

void disconnect_watcher::WaitForClose(
    const std::shared_ptr<shared_state>& shared) {
  shared->client->stream.socket().async_wait(
      boost::asio::ip::tcp::socket::wait_read, [shared](error_code failure) {
        if (!failure && shared->client != nullptr) {
          HandleReadable(shared);
        }
      });
}

// The rest of the body also makes the socket readable. While it is unread,
// waiting for the socket can't detect a later close.
void disconnect_watcher::HandleReadable(
    const std::shared_ptr<shared_state>& shared) {
  if (shared->client->HasPeerClosed()) {
    shared->Disconnect();
    return;
  }
  if (!shared->poll_timer) {
    shared->poll_timer.emplace(shared->client->stream.get_executor());
  }
  shared->poll_timer->expires_after(kClosePollInterval);
  shared->poll_timer->async_wait([shared](error_code failure) {
    if (!failure && shared->client != nullptr) {
      HandleReadable(shared);
    }
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
    connection_to_close->Abandon();
  }
}

}  // namespace wagtailmount::detail
