#pragma once

#include <nlohmann/json.hpp>

#include "LibNode/control_plane.h"
#include "LibTraffic/traffic_server.h"

namespace wagtailmount {

/// Returns the counters of this node since its start as JSON: those that
/// LibReport reads, and all other counters of traffic, links and configuration.
nlohmann::json CountersReport(const control_plane& control,
                              const traffic_server& traffic);

/// Returns this node's latest requests from callers as JSON, oldest first, each
/// with the chosen upstream and the reason for that choice.
nlohmann::json DecisionsReport(const traffic_server& traffic);

}  // namespace wagtailmount
