#pragma once

#include <string>

#include "LibNode/catalog_control.h"
#include "LibTraffic/traffic_server.h"

namespace wagtailmount {

/// Returns the counters and latency histograms of one node in the Prometheus
/// text format. Metric names begin with "wagtailmount_".
std::string MetricsText(const catalog_control& control,
                        const traffic_server& traffic,
                        std::uint64_t dropped_log_lines);

}  // namespace wagtailmount
