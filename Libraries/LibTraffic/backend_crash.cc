#include "LibTraffic/backend_crash.h"

namespace wagtailmount::detail {

bool IsLostInExchange(attempt_outcome outcome) {
  return outcome == attempt_outcome::kLostWhileWriting ||
         outcome == attempt_outcome::kLostAfterWriting ||
         outcome == attempt_outcome::kAnswerTruncated;
}

task<bool> HasBackendServerCrashed(traffic_worker& worker) {
  error_code failure;
  std::unique_ptr<http_connection> connection = co_await Connect(
      worker.state.settings.backend_server, kConnectTimeout, failure);
  if (connection != nullptr) {
    connection->opened_at = worker.state.clock.Now();
    worker.KeepBackendConnection(std::move(connection));
  }
  co_return failure == boost::asio::error::connection_refused;
}

}  // namespace wagtailmount::detail
