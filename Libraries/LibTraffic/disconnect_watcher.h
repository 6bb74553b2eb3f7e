#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "LibTraffic/http_connection.h"

namespace wagtailmount::detail {

/// A client's close behind bytes that may not be read yet is noticed this late.
/// The backend servers are to stop within 500 ms of it, two hops away.
inline constexpr std::chrono::milliseconds kClosePollInterval{150};

class disconnect_watcher;

/// What a withdrawn request does to the connection on which its answer is
/// awaited.
enum class withdrawal : std::uint8_t {
  kClose,    ///< Closes it.
  kCallOff,  ///< Closes its sending side, which the peer, another node, takes
             ///< for a disconnect: it refuses the request if it is queued.
};

/// Watches a connection to a client for several requests that are served on it
/// side by side, and calls disconnect_watcher::Disconnect() for each.
class client_watch {
 public:
  virtual void Add(disconnect_watcher& watcher) = 0;
  virtual void Remove(disconnect_watcher& watcher) = 0;

 protected:
  ~client_watch() = default;
};

/// Detects that the client of a request, a caller or another node, closes its
/// connection before it is answered. Then closes the connection on which the
/// answer is awaited, which cancels the request. Used on the thread of both
/// connections.
class disconnect_watcher {
 public:
  /// Watches the connection by itself; nothing but the rest of the request's
  /// body may be read from the client while the watcher exists.
  explicit disconnect_watcher(http_connection& client);
  /// Leaves the watching to `shared`, which must outlive the watcher.
  disconnect_watcher(http_connection& client, client_watch& shared);
  disconnect_watcher(const disconnect_watcher&) = delete;
  disconnect_watcher& operator=(const disconnect_watcher&) = delete;
  ~disconnect_watcher();

  /// Starts watching.
  void Start();

  /// Sets the connection to close when the client disconnects, and what happens
  /// to it when the request is withdrawn; null for none. Closes it at once if
  /// one of them has happened.
  void CloseOnDisconnect(http_connection* connection,
                         withdrawal when_withdrawn = withdrawal::kClose);

  /// Sets what is done when the client disconnects; empty for nothing. Does it
  /// at once if that has happened.
  void CallOnDisconnect(std::function<void()> action);

  /// Sets the connection on which the rest of the request's body is read, and
  /// on which the reading ends when the request is withdrawn; null for none.
  void StopReadingOnWithdrawal(http_connection* sender);

  /// The client has disconnected, or is to get no answer.
  void Disconnect();

  /// Ends the request like its deadline: its client is still to be answered.
  void Withdraw();

  /// After Withdraw(): ends the wait for another node to say what became of the
  /// request.
  void EndWithdrawal() { state_.Close(); }

  /// Whether the request was cancelled by Disconnect(); asks nobody.
  bool IsCancelled() const { return state_.has_disconnected; }

  /// Whether Withdraw() was called.
  bool IsWithdrawn() const { return state_.is_withdrawn; }

  /// Whether the client has disconnected, as far as the kernel knows now.
  bool HasClientDisconnected();

 private:
  // Shared with the pending handler, if there is one; it may run after the
  // watcher is gone.
  struct shared_state {
    http_connection* client = nullptr;  ///< Null once the watcher is destroyed.
    http_connection* connection_to_close = nullptr;
    withdrawal when_withdrawn = withdrawal::kClose;
    std::function<void()> on_disconnect;
    bool has_disconnected = false;
    bool is_withdrawn = false;
    std::optional<boost::asio::steady_timer> poll_timer;

    void Disconnect();
    void Close();
  };

  static void WaitForClose(const std::shared_ptr<shared_state>& shared);
  static void HandleReadable(const std::shared_ptr<shared_state>& shared);

  std::shared_ptr<shared_state> shared_;  ///< Null if another watches.
  shared_state own_;
  shared_state& state_;  ///< One of the two.
  client_watch* watch_ = nullptr;
  http_connection* sender_ = nullptr;
  bool is_started_ = false;
};

}  // namespace wagtailmount::detail
