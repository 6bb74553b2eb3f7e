#include "LibTraffic/connection_pool.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/this_coro.hpp>

namespace wagtailmount::detail {

namespace {

/// Bytes that the peer does not acknowledge for so long end the connection.
/// Source: several retransmissions on a lossy link, well below deadlines.
constexpr unsigned kUnacknowledgedTimeoutMilliseconds = 1'000;

}  // namespace

std::unique_ptr<http_connection> connection_pool::Take(const endpoint& target,
                                                       time_point now,
                                                       duration maximum_idle) {
  const auto found = idle_.find(target);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& kept = found->second;
  while (!kept.empty()) {
    std::unique_ptr<http_connection> connection = std::move(kept.back());
    kept.pop_back();
    const bool is_old = now - connection->idle_since > maximum_idle;
    if (is_old) {
      // The others have been idle for longer still.
      kept.clear();
      return nullptr;
    }
    // Bytes that no request asked for mean that the two sides have lost step.
    const bool is_in_step = connection->buffer.size() == 0;
    if (is_in_step && !connection->HasPeerClosed()) {
      connection->is_reused = true;
      return connection;
    }
  }
  return nullptr;
}

void connection_pool::Keep(const endpoint& target,
                           std::unique_ptr<http_connection> connection,
                           time_point now) {
  connection->idle_since = now;
  idle_[target].push_back(std::move(connection));
}

task<std::unique_ptr<http_connection>> Connect(const endpoint& target,
                                               duration patience) {
  const auto executor = co_await boost::asio::this_coro::executor;
  error_code failure;
  const auto address = boost::asio::ip::make_address(target.address, failure);
  if (failure) {
    co_return nullptr;
  }
  auto connection = std::make_unique<http_connection>(executor);
  connection->stream.expires_after(patience);
  const boost::asio::ip::tcp::endpoint where{address, target.port};
  co_await connection->stream.async_connect(where, ReportTo(failure));
  if (failure) {
    co_return nullptr;
  }
  connection->stream.socket().set_option(boost::asio::ip::tcp::no_delay{true},
                                         failure);
  // A connection may go silent for good without a reset, while new ones work.
  const unsigned timeout = kUnacknowledgedTimeoutMilliseconds;
  setsockopt(connection->stream.socket().native_handle(), IPPROTO_TCP,
             TCP_USER_TIMEOUT, &timeout, sizeof timeout);
  co_return connection;
}

}  // namespace wagtailmount::detail
