#pragma once

#include <memory>

#include "LibTraffic/http_connection.h"

namespace wagtailmount::detail {

/// Detects that the client of a request, a caller or another node, closes its
/// connection before it is answered. Then closes the connection on which the
/// answer is awaited, which cancels the request. Used on the thread of both
/// connections; nothing may be read from the client while the watch exists.
class departure_watch {
 public:
  explicit departure_watch(http_connection& asker);
  departure_watch(const departure_watch&) = delete;
  departure_watch& operator=(const departure_watch&) = delete;
  ~departure_watch();

  /// Starts watching. Must not be called while the request's body is still
  /// being read.
  void Start();

  /// Sets the connection to close when the client disconnects; null for none.
  void Guard(http_connection* connection) { shared_->guarded = connection; }

  /// Whether the client has disconnected, as far as the kernel knows now.
  bool HasLeft();

 private:
  // Shared with the pending handler, which may run after the watch is gone.
  struct shared_part {
    http_connection* asker = nullptr;  ///< Null once the watch is destroyed.
    http_connection* guarded = nullptr;
    bool has_left = false;
  };

  std::shared_ptr<shared_part> shared_ = std::make_shared<shared_part>();
  bool is_started_ = false;
};

}  // namespace wagtailmount::detail
