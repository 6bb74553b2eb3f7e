#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <initializer_list>
#include <thread>

#include "LibBase/clock.h"

namespace wagtailmount {

/// Waits for signals on a thread of its own, which notes when each one came:
/// the grace period of a stop counts from then, and the control thread may be
/// busy with a large configuration for a while.
class signal_listener {
 public:
  using handler = std::function<void(int signal, time_point arrived_at)>;

  /// Calls `handle` on the thread of `target` for each of `signals`. `clock`
  /// and `target` must outlive the listener.
  signal_listener(std::initializer_list<int> signals,
                  const runtime_clock& clock, boost::asio::io_context& target,
                  handler handle);
  signal_listener(const signal_listener&) = delete;
  signal_listener& operator=(const signal_listener&) = delete;
  ~signal_listener();

 private:
  void Wait();

  const runtime_clock& clock_;
  boost::asio::io_context& target_;
  handler handle_;
  boost::asio::io_context context_{1};
  boost::asio::signal_set signals_{context_};
  std::thread thread_;
};

}  // namespace wagtailmount
