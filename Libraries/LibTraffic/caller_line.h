#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "LibTraffic/answer_order.h"
#include "LibTraffic/disconnect_watcher.h"
#include "LibTraffic/traffic_state.h"
//
#include <boost/asio/steady_timer.hpp>

namespace wagtailmount::detail {

/// Answers that wait at this node for others on their connections: a twentieth
/// of the memory of the smallest machines.
inline constexpr std::uint64_t kMaximumWaitingBytes =
    std::uint64_t{8} * 1024 * 1024;

/// How the wait of an answer for its turn ended.
enum class turn : std::uint8_t {
  kCome,       ///< The answer may be sent.
  kCancelled,  ///< Nothing more is sent on the connection.
  kExpired,    ///< It has waited for as long as it may.
};

/// What happens to a connection after an answer.
enum class next_step : std::uint8_t { kKeepAlive, kLingeringClose, kCloseNow };

/// The connection of one caller with all requests that are served on it. Reads
/// further requests while others are served, as far as the order allows, and
/// watches for the caller's close. Used on one thread; shared by the coroutines
/// of the requests.
class caller_line final : public client_watch,
                          public std::enable_shared_from_this<caller_line> {
 public:
  /// Starts serving the request whose header section is the next in the
  /// connection's buffer. False if that can't be done beside others: then
  /// nothing more is read until ContinueAlone().
  using read_function = std::function<bool()>;

  caller_line(traffic_worker& worker, boost::asio::ip::tcp::socket socket)
      : connection(std::move(socket)),
        worker_(worker),
        poll_timer_(worker.context) {}

  /// Must be called before the first request.
  void SetRead(read_function read) { read_ = std::move(read); }

  /// Waits until the answer of `bytes` may be sent, at most until `end`.
  /// Not to be called by the first in the line.
  task<turn> WaitForTurn(line_ticket ticket, std::size_t bytes, time_point end);

  /// States that a request ended. Has no effect once it is cancelled.
  void Finish(line_ticket ticket, next_step next);

  /// Waits until no request is in the line.
  task<void> WaitUntilEmpty();

  /// The line is empty, and the next request is served as the only one.
  void ContinueAlone() { is_held_ = false; }

  /// What happens to the connection once the line is empty.
  next_step Next() const { return next_; }

  void Add(disconnect_watcher& watcher) override;
  void Remove(disconnect_watcher& watcher) override;

  http_connection connection;
  answer_order order;

 private:
  bool MayRead() const;
  void ReadAhead();
  void WaitForBytes();
  void AskAgainSoon();
  void HandleReadable();
  void Disconnect();
  void Cancel(std::size_t cancelled);
  void Wake(line_ticket ticket);

  traffic_worker& worker_;
  read_function read_;
  std::vector<disconnect_watcher*> watchers_;
  std::map<line_ticket, boost::asio::steady_timer*> waiting_;
  boost::asio::steady_timer* empty_timer_ = nullptr;
  boost::asio::steady_timer poll_timer_;
  bool is_waiting_for_bytes_ = false;
  bool is_polling_ = false;
  bool is_held_ = false;
  bool has_disconnected_ = false;
  next_step next_ = next_step::kKeepAlive;
};

}  // namespace wagtailmount::detail
