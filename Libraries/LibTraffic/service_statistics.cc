#include "LibTraffic/service_statistics.h"

#include <algorithm>
#include <array>

namespace wagtailmount::detail {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kProbabilities{0.5, 0.99, 0.999};
// Quantiles are computed over windows of at least this length, so that they
// follow changes.
constexpr std::chrono::seconds kWindow{30};
// Quantiles of fewer samples mean nothing; a window lasts until it has this
// many.
constexpr std::uint64_t kLeastSamples = 16;

std::chrono::microseconds ToMicroseconds(double value) {
  return std::chrono::microseconds{static_cast<std::int64_t>(value)};
}

}  // namespace

service_statistics::latency_quantiles service_statistics::FreshQuantiles() {
  return latency_quantiles{accumulators::extended_p_square_probabilities =
                               kProbabilities};
}

void service_statistics::CloseWindow(entry& of) {
  const auto quantiles = accumulators::extended_p_square(of.quantiles);
  of.counts.latency_median = ToMicroseconds(quantiles[0]);
  of.counts.latency_99 = ToMicroseconds(quantiles[1]);
  of.counts.latency_999 = ToMicroseconds(quantiles[2]);
}

void service_statistics::Add(time_point now, const service& asked,
                             bool is_failed, duration taken) {
  const std::lock_guard lock{mutex_};
  auto found = entries_.find(asked.name);
  if (found == entries_.end()) {
    entry fresh{{}, FreshQuantiles(), 0, now};
    fresh.counts.service = asked.name;
    found = entries_.emplace(asked.name, std::move(fresh)).first;
  }
  entry& of = found->second;
  if (now - of.window_begin > kWindow && of.samples >= kLeastSamples) {
    CloseWindow(of);
    of.quantiles = FreshQuantiles();
    of.samples = 0;
    of.window_begin = now;
  }
  ++of.counts.requests;
  of.counts.failed += is_failed ? 1 : 0;
  of.counts.slow += taken > asked.level.latency ? 1 : 0;
  const auto bucket =
      std::lower_bound(kLatencyBuckets.begin(), kLatencyBuckets.end(), taken);
  ++of.counts.latency_counts[static_cast<std::size_t>(bucket -
                                                      kLatencyBuckets.begin())];
  of.counts.latency_sum +=
      std::chrono::duration_cast<std::chrono::microseconds>(taken);
  ++of.samples;
  of.quantiles(std::chrono::duration<double, std::micro>(taken).count());
}

std::vector<service_counts> service_statistics::Read() const {
  const std::lock_guard lock{mutex_};
  std::vector<service_counts> read;
  for (const auto& [name, of] : entries_) {
    entry copy = of;
    // Before the first window ends, reports the quantiles of its samples so
    // far.
    if (copy.counts.latency_median.count() == 0 &&
        copy.samples >= kLeastSamples) {
      CloseWindow(copy);
    }
    read.push_back(copy.counts);
  }
  return read;
}

}  // namespace wagtailmount::detail
