#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/clock.h"
#include "LibTraffic/traffic_server.h"

namespace wagtailmount::detail {

/// Request counts and latencies per service as callers see them. Shared by all
/// traffic threads.
class service_statistics {
 public:
  /// Records a request that was answered after `latency`.
  void Add(time_point now, const service& target, bool is_failed,
           duration latency);

  std::vector<service_counts> Read() const;

 private:
  using latency_quantiles = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;

  struct entry {
    service_counts counts;
    latency_quantiles quantiles;
    std::uint64_t samples = 0;
    time_point window_begin{};
  };

  static latency_quantiles MakeQuantiles();
  static void StoreQuantiles(entry& service_entry);

  mutable std::mutex mutex_;
  std::map<std::string, entry, std::less<>> entries_;
};

}  // namespace wagtailmount::detail
