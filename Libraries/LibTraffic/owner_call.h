#pragma once

#include "LibTraffic/disconnect_watcher.h"
#include "LibTraffic/entry.h"

namespace wagtailmount::detail {

/// Sends a request to `owner`, the node beside the chosen upstream, and reads
/// its answer, or its refusal with the verdict and the reported load.
task<attempt_result> RunAtOwner(traffic_worker& worker,
                                const entry_request& incoming,
                                const upstream& owner, std::uint32_t attempt,
                                disconnect_watcher& watch);

}  // namespace wagtailmount::detail
