#pragma once

#include <exception>

#include "LibTraffic/traffic_state.h"

namespace wagtailmount::detail {

/// Serves the requests of one caller's connection until it closes.
task<void> ServeCaller(traffic_worker& worker,
                       boost::asio::ip::tcp::socket socket);

/// Serves the requests that another node sends to the backend server of this
/// VM, until the connection closes.
task<void> ServeHop(traffic_worker& worker,
                    boost::asio::ip::tcp::socket socket);

/// Completion handler of a session: one that an exception ended closes its
/// connection without an answer, which is logged.
struct session_end {
  traffic_worker& worker;

  void operator()(const std::exception_ptr& failure) const;
};

}  // namespace wagtailmount::detail
