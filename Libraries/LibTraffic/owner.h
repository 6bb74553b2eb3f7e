#pragma once

#include <optional>

#include "LibTraffic/exchange.h"
#include "LibTraffic/traffic_state.h"

namespace wagtailmount::detail {

/// A request to run at the backend server of this VM, from a local caller or
/// from another node.
struct owner_request {
  outgoing_request& request;
  disconnect_watcher& watch;  ///< Watches the connection to the client.
  time_point deadline;
  request_priority priority = request_priority::kInteractive;
  time_point objective{};  ///< Zero when there is none.
  request_kind kind = kUnknownKind;
  /// The rate limit that another node knows the backend server to have named.
  std::optional<double> known_rate_limit;
};

/// Runs a request at the backend server of this VM: waits for a slot, checks
/// that the client is still connected, and exchanges request and answer.
task<attempt_result> RunAtBackendServer(traffic_worker& worker,
                                        owner_request incoming);

}  // namespace wagtailmount::detail
