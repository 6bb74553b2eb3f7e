#pragma once

#include <memory>

#include "LibTraffic/http_connection.h"

namespace wagtailmount::detail {

/// Detects that the client of a request, a caller or another node, closes its
/// connection before it is answered. Then closes the connection on which the
/// answer is awaited, which cancels the request. Used on the thread of both
/// connections; nothing may be read from the client while the watcher exists.
class disconnect_watcher {
 public:
  explicit disconnect_watcher(http_connection& client);
  disconnect_watcher(const disconnect_watcher&) = delete;
  disconnect_watcher& operator=(const disconnect_watcher&) = delete;
  ~disconnect_watcher();

  /// Starts watching. Must not be called while the request's body is still
  /// being read.
  void Start();

  /// Sets the connection to close when the client disconnects; null for none.
  void CloseOnDisconnect(http_connection* connection) {
    shared_->connection_to_close = connection;
  }

  /// Whether the client has disconnected, as far as the kernel knows now.
  bool HasClientDisconnected();

 private:
  // Shared with the pending handler, which may run after the watcher is gone.
  struct shared_state {
    http_connection* client = nullptr;  ///< Null once the watcher is destroyed.
    http_connection* connection_to_close = nullptr;
    bool has_disconnected = false;
  };

  std::shared_ptr<shared_state> shared_ = std::make_shared<shared_state>();
  bool is_started_ = false;
};

}  // namespace wagtailmount::detail
