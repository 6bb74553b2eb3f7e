#pragma once

#include "LibTraffic/traffic_state.h"

namespace wagtailmount::detail {

/// Serves the requests of one caller's connection until it closes.
task<void> ServeCaller(traffic_worker& worker,
                       boost::asio::ip::tcp::socket socket);

/// Serves the requests that another node sends to the backend server of this
/// VM, until the connection closes.
task<void> ServeHop(traffic_worker& worker,
                    boost::asio::ip::tcp::socket socket);

}  // namespace wagtailmount::detail
