#include "LibTraffic/backend_crash.h"

#include "LibTraffic/header_fields.h"
#include "LibTraffic/request_fingerprints.h"

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
    worker.KeepBackendConnection(std::move(connection));
  }
  co_return failure == boost::asio::error::connection_refused;
}

void LogCrash(const traffic_state& state, const owner_request& incoming) {
  if (state.log == nullptr) {
    return;
  }
  const request_fields& fields = state.settings.fields;
  const http_request& message = incoming.request.message;
  log_line line{"backend-crashed"};
  line.Text("id", FieldOf(message, kRequestIdField))
      .Text("backend", FieldOf(message, fields.expected_backend_server))
      .Text("request", FingerprintOf(incoming.request, fields.caller_service)
                           .whole.ToShortHex());
  state.log->Add(std::move(line));
}

}  // namespace wagtailmount::detail
