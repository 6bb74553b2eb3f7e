#pragma once

#include "LibLoad/attempt_outcome.h"
#include "LibTraffic/traffic_state.h"

namespace wagtailmount::detail {

/// Whether an exchange with a backend server ended as it does when that
/// crashes.
bool IsLostInExchange(attempt_outcome outcome);

/// Whether the backend server of this VM has crashed: it refuses connections
/// just after an exchange with it was lost. A backend server that only broke a
/// connection off accepts the next one, which is kept for another request.
task<bool> HasBackendServerCrashed(traffic_worker& worker);

}  // namespace wagtailmount::detail
