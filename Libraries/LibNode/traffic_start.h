#pragma once

#include <cstdint>

#include "LibBase/clock.h"
#include "LibNode/settings.h"
#include "LibTraffic/traffic_server.h"

namespace wagtailmount {

/// A seed that differs between VMs and between the processes of one.
std::uint64_t SeedOf(const node_settings& settings, const runtime_clock& clock);

/// How this VM takes part in serving requests, whatever its platform.
traffic_settings TrafficSettings(const node_settings& settings,
                                 std::uint64_t seed);

}  // namespace wagtailmount
