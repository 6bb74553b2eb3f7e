#pragma once

#include <cstdint>
#include <string_view>

#include "LibTraffic/owner.h"

namespace wagtailmount::detail {

/// Whether an exchange with a backend server ended as it does when that
/// crashes.
bool IsLostInExchange(attempt_outcome outcome);

/// Whether the backend server of this VM has crashed: it refuses connections
/// just after an exchange with it was lost. A backend server that only broke a
/// connection off accepts the next one, which is kept for another request.
task<bool> HasBackendServerCrashed(traffic_worker& worker);

/// Logs that a backend server crashed while it ran a request.
void LogCrash(const traffic_state& state, const owner_request& incoming);

}  // namespace wagtailmount::detail
