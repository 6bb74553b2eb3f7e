#pragma once

#include <cstdint>

#include "LibBase/clock.h"
#include "LibNode/settings.h"
#include "LibTraffic/traffic_server.h"

namespace wagtailmount {

/// Returns a random seed that differs between VMs and between processes of one
/// VM.
std::uint64_t MakeRandomSeed(const node_settings& settings,
                             const runtime_clock& clock);

/// Returns the traffic server's settings that do not depend on the kind of
/// platform.
traffic_settings MakeTrafficSettings(const node_settings& settings,
                                     std::uint64_t seed);

}  // namespace wagtailmount
