#include "LibTraffic/service_statistics.h"

#include <algorithm>
#include <array>

namespace wagtailmount::detail {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kProbabilities{0.5, 0.99, 0.999};
// Quantiles are computed over windows of at least this length, so that they
// follow changes.
constexpr std::chrono::seconds kMinimumWindow{30};
// Quantiles of fewer samples mean nothing; a window lasts until it has this
// many.
constexpr std::uint64_t kMinimumSamples = 16;

std::chrono::microseconds ToMicroseconds(double value) {
  return std::chrono::microseconds{static_cast<std::int64_t>(value)};
}

}  // namespace

service_statistics::latency_quantiles service_statistics::MakeQuantiles() {
  return latency_quantiles{accumulators::extended_p_square_probabilities =
                               kProbabilities};
}

void service_statistics::StoreQuantiles(entry& service_entry) {
  const auto quantiles =
      accumulators::extended_p_square(service_entry.quantiles);
  service_entry.counts.latency_median = ToMicroseconds(quantiles[0]);
  service_entry.counts.latency_p99 = ToMicroseconds(quantiles[1]);
  service_entry.counts.latency_p999 = ToMicroseconds(quantiles[2]);
}

void service_statistics::Add(time_point now, const service& target,
                             bool is_failed, duration response_time) {
  const std::lock_guard lock{mutex_};
  auto found = entries_.find(target.name);
  if (found == entries_.end()) {
    entry new_entry{{}, MakeQuantiles(), 0, now};
    new_entry.counts.service = target.name;
    found = entries_.emplace(target.name, std::move(new_entry)).first;
  }
  entry& service_entry = found->second;
  if (now - service_entry.window_begin > kMinimumWindow &&
      service_entry.samples >= kMinimumSamples) {
    StoreQuantiles(service_entry);
    service_entry.quantiles = MakeQuantiles();
    service_entry.samples = 0;
    service_entry.window_begin = now;
  }
  ++service_entry.counts.requests;
  service_entry.counts.failed += is_failed ? 1 : 0;
  service_entry.counts.slow += response_time > target.level.latency ? 1 : 0;
  const auto bucket = std::lower_bound(kLatencyBuckets.begin(),
                                       kLatencyBuckets.end(), response_time);
  ++service_entry.counts.latency_counts[static_cast<std::size_t>(
      bucket - kLatencyBuckets.begin())];
  service_entry.counts.latency_sum +=
      std::chrono::duration_cast<std::chrono::microseconds>(response_time);
  ++service_entry.samples;
  service_entry.quantiles(
      std::chrono::duration<double, std::micro>(response_time).count());
}

std::vector<service_counts> service_statistics::Read() const {
  const std::lock_guard lock{mutex_};
  std::vector<service_counts> read;
  for (const auto& [name, service_entry] : entries_) {
    entry copy = service_entry;
    // Before the first window ends, reports the quantiles of its samples so
    // far.
    if (copy.counts.latency_median.count() == 0 &&
        copy.samples >= kMinimumSamples) {
      StoreQuantiles(copy);
    }
    read.push_back(copy.counts);
  }
  return read;
}

}  // namespace wagtailmount::detail
