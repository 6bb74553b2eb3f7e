#pragma once

#include <string>

#include "LibNode/catalog_control.h"
#include "LibTraffic/traffic_server.h"

namespace wagtailmount {

/// Counters and latency histograms of one node in the text format that
/// Prometheus reads. Names begin with "wagtailmount_".
std::string MetricsText(const catalog_control& control,
                        const traffic_server& traffic,
                        std::uint64_t dropped_log_lines);

}  // namespace wagtailmount
