#pragma once

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "LibBase/endpoint.h"
#include "LibTraffic/http_connection.h"
#include "LibTraffic/peer_clock.h"

namespace wagtailmount::detail {

/// The idle connections of one traffic thread to other nodes and to the backend
/// server. Not thread-safe.
class connection_pool {
 public:
  /// The most recently used connection to `target` on which the peer has sent
  /// nothing since its last answer, that it has not closed, and that has been
  /// idle for at most `maximum_idle`; null when there is none.
  std::unique_ptr<http_connection> Take(const endpoint& target, time_point now,
                                        duration maximum_idle);

  /// Since when the last connection had been idle that Take() found unusable
  /// before its time, since this was last asked; none if it found none.
  std::optional<time_point> TakeClosedIdleSince() {
    return std::exchange(closed_idle_since_, std::nullopt);
  }

  /// Stores an idle connection. Its last exchange must be complete.
  void Keep(const endpoint& target, std::unique_ptr<http_connection> connection,
            time_point now);

  /// Closes the idle connections to `target` that have been idle since before
  /// `since`: an exchange that began then got no answer, so the target may be
  /// cut off, and each of them would cost a request its deadline.
  void CloseIdleSince(const endpoint& target, time_point since);

  /// Closes, at most once a second, the idle connections that are of no use any
  /// more: those idle for longer than `maximum_idle`, and those to a target
  /// that is not in use now and has closed them, as a node does that has left.
  /// Leaves out `except`, whose closed connections Take() reports.
  void CloseUnused(time_point now, duration maximum_idle,
                   const endpoint& except);

  /// How many idle connections there are.
  std::size_t Size() const;

  /// The clock of the node at `target`, as far as its answers have shown it.
  /// Kept beyond its connections: a request on a new connection may lie unread
  /// there for longest.
  peer_clock& ClockOf(const endpoint& target) { return clocks_[target]; }

 private:
  std::optional<time_point> closed_idle_since_;
  /// By target, the one that has been idle for longest first.
  std::map<endpoint, std::vector<std::unique_ptr<http_connection>>> idle_;
  time_point next_close_at_{};
  /// One for each node ever called, which is few enough to keep.
  std::map<endpoint, peer_clock> clocks_;
};

/// Opens a connection; null when that fails or takes longer than
/// `connect_timeout`, with the reason in `failure`.
task<std::unique_ptr<http_connection>> Connect(const endpoint& target,
                                               duration connect_timeout,
                                               error_code& failure);
task<std::unique_ptr<http_connection>> Connect(const endpoint& target,
                                               duration connect_timeout);

}  // namespace wagtailmount::detail
