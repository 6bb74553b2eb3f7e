#include "LibTraffic/connection_pool.h"

#include <poll.h>

#include <boost/asio/this_coro.hpp>

namespace wagtailmount::detail {

namespace {

/// A connection that the peer is about to close for being idle is not used: the
/// close could cross the request.
constexpr std::chrono::milliseconds kIdleTimeoutMargin{100};
/// How often unused connections are looked for, and how long after its last
/// exchange a target counts as not in use. While it is in use, Take() finds the
/// closed ones.
constexpr std::chrono::seconds kUnusedInterval{1};

using idle_connections = std::vector<std::unique_ptr<http_connection>>;

// Erases the connections that the peer has closed, or on which it has sent
// something. Asks for all of them in one system call.
void EraseUnusable(idle_connections& connections) {
  std::vector<pollfd> polled;
  polled.reserve(connections.size());
  for (const auto& connection : connections) {
    pollfd each{};
    each.fd = connection->stream.socket().native_handle();
    each.events = POLLIN | POLLRDHUP;
    polled.push_back(each);
  }
  if (::poll(polled.data(), polled.size(), 0) <= 0) {
    return;
  }
  std::size_t at = 0;
  std::erase_if(connections, [&](const auto& connection) {
    const bool has_event = polled[at++].revents != 0;
    return has_event || connection->buffer.size() > 0;
  });
}

}  // namespace

std::unique_ptr<http_connection> connection_pool::Take(const endpoint& target,
                                                       time_point now,
                                                       duration maximum_idle) {
  const auto found = idle_.find(target);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& target_connections = found->second;
  while (!target_connections.empty()) {
    std::unique_ptr<http_connection> connection =
        std::move(target_connections.back());
    target_connections.pop_back();
    const bool is_old = now - connection->idle_since > maximum_idle;
    if (is_old) {
      if (connection->IsUnusable()) {
        closed_idle_since_ = connection->idle_since;
      }
      // The remaining connections have been idle even longer.
      target_connections.clear();
      return nullptr;
    }
    const bool may_be_closed =
        now - connection->idle_since >=
        connection->stated_idle_timeout - kIdleTimeoutMargin;
    if (may_be_closed) {
      continue;
    }
    if (!connection->IsUnusable()) {
      connection->is_reused = true;
      return connection;
    }
    closed_idle_since_ = connection->idle_since;
  }
  return nullptr;
}

void connection_pool::Keep(const endpoint& target,
                           std::unique_ptr<http_connection> connection,
                           time_point now) {
  connection->idle_since = now;
  idle_[target].push_back(std::move(connection));
}

void connection_pool::CloseIdleSince(const endpoint& target, time_point since) {
  const auto found = idle_.find(target);
  if (found != idle_.end()) {
    std::erase_if(found->second, [since](const auto& connection) {
      return connection->idle_since <= since;
    });
  }
}

void connection_pool::CloseUnused(time_point now, duration maximum_idle,
                                  const endpoint& except) {
  if (now < next_close_at_) {
    return;
  }
  next_close_at_ = now + kUnusedInterval;
  for (auto& [target, connections] : idle_) {
    if (connections.empty() || target == except) {
      continue;
    }
    const bool is_in_use =
        now - connections.back()->idle_since < kUnusedInterval;
    std::erase_if(connections, [&](const auto& connection) {
      return now - connection->idle_since > maximum_idle;
    });
    if (!is_in_use) {
      EraseUnusable(connections);
    }
  }
  std::erase_if(idle_, [](const auto& each) { return each.second.empty(); });
}

std::size_t connection_pool::Size() const {
  std::size_t count = 0;
  for (const auto& [target, connections] : idle_) {
    count += connections.size();
  }
  return count;
}

task<std::unique_ptr<http_connection>> Connect(const endpoint& target,
                                               duration connect_timeout,
                                               error_code& failure) {
  const auto executor = co_await boost::asio::this_coro::executor;
  const auto address = boost::asio::ip::make_address(target.address, failure);
  if (failure) {
    co_return nullptr;
  }
  auto connection = std::make_unique<http_connection>(executor);
  connection->stream.expires_after(connect_timeout);
  const boost::asio::ip::tcp::endpoint remote{address, target.port};
  co_await connection->stream.async_connect(remote, ReportTo(failure));
  if (failure) {
    co_return nullptr;
  }
  error_code ignored;
  connection->stream.socket().set_option(boost::asio::ip::tcp::no_delay{true},
                                         ignored);
  // A connection can stop delivering data without a reset while new connections
  // to the same peer work.
  connection->SetUnacknowledgedTimeout(kUnacknowledgedTimeout);
  co_return connection;
}

task<std::unique_ptr<http_connection>> Connect(const endpoint& target,
                                               duration connect_timeout) {
  error_code ignored;
  co_return co_await Connect(target, connect_timeout, ignored);
}

}  // namespace wagtailmount::detail
