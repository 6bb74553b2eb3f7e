#pragma once

#include "LibTraffic/exchange.h"
#include "LibTraffic/traffic_state.h"

namespace wagtailmount::detail {

/// A request as the owner is asked to run it.
struct owner_request {
  outgoing_request& request;
  departure_watch& watch;  ///< Over the connection where the answer goes.
  time_point deadline;
  request_priority priority = request_priority::kInteractive;
  time_point objective{};  ///< Zero when it is not told.
};

/// Runs a request at the backend server of this VM: waits for a slot, makes
/// sure that the asker still waits, and exchanges.
task<attempt_result> RunAtBackendServer(traffic_worker& worker,
                                        owner_request asked);

}  // namespace wagtailmount::detail
