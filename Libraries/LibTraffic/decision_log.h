#pragma once

#include <oneapi/tbb/concurrent_queue.h>

#include <cstddef>
#include <deque>
#include <vector>

#include "LibTraffic/traffic_server.h"

namespace wagtailmount::detail {

/// Passes the most recent decisions of all traffic threads to the control
/// thread. Reading never blocks a traffic thread.
class decision_log {
 public:
  decision_log();

  /// Called by traffic threads. When the queue is full, drops its oldest entry.
  void Add(const traffic_decision& decision);

  /// The most recent decisions, oldest first, at most kCapacity. Called by the
  /// control thread only.
  std::vector<traffic_decision> Read() const;

 private:
  static constexpr std::size_t kCapacity = 256;

  mutable oneapi::tbb::concurrent_bounded_queue<traffic_decision> pending_;
  mutable std::deque<traffic_decision> recent_;  ///< Control thread only.
};

}  // namespace wagtailmount::detail
