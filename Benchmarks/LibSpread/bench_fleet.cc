// Measures convergence times and control traffic of simulated fleets of
// spreaders in one process, with and without faults, for several overlay
// densities and compare periods. Usage: BenchFleet [VMS...]
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "LibLink/message_codec.h"
#include "Tests/LibSpread/spread_fleet.h"
#include "Tests/LibSpread/versions.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FolderAt;
using testing::spread_fleet;

/// Overhead of WebSocket, TCP and IP for each message, in bytes.
constexpr std::size_t kFramingBytes = 60;
constexpr std::uint64_t kChanges = 5;
constexpr std::size_t kFiles = 12;

double Milliseconds(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

std::uint64_t BytesSent(const spread_fleet& fleet) {
  std::uint64_t bytes = 0;
  for (const auto& each : fleet.nodes) {
    bytes += each.sent_bytes;
  }
  return bytes;
}

struct fleet_case {
  const char* name;
  double loss = 0;
  bool is_domain_separated = false;
  overlay_settings overlay = {};
  seconds compare_period{2};
};

void Measure(std::size_t vms, const fleet_case& tested) {
  testing::fleet_settings settings{.vms = vms, .domains = 13, .regions = 5};
  settings.loss = tested.loss;
  settings.overlay = tested.overlay;
  settings.spread.compare_period = tested.compare_period;
  spread_fleet fleet(settings);
  fleet.message_size = [](const message& content) {
    return EncodeMessage(content).size() + kFramingBytes;
  };
  fleet.Run(seconds{2});
  fleet.Publish(1, FolderAt(1, kFiles), 0);
  fleet.Run(seconds{8});
  const auto bytes_before_idle = BytesSent(fleet);
  fleet.Run(seconds{10});
  const auto idle_bytes = BytesSent(fleet) - bytes_before_idle;
  if (tested.is_domain_separated) {
    fleet.Partition(
        [](const spread_fleet::node& each) { return each.domain == "d1"; });
  }
  fleet.convergence.clear();
  const auto bytes_before_changes = BytesSent(fleet);
  for (std::uint64_t revision = 2; revision < 2 + kChanges; ++revision) {
    fleet.Publish(revision, FolderAt(revision, kFiles), 0);
    fleet.Run(seconds{10});
  }
  const auto change_phase_bytes = BytesSent(fleet) - bytes_before_changes;
  auto times = fleet.convergence;
  std::sort(times.begin(), times.end());
  const auto node_count = static_cast<double>(vms);
  const double change_bytes = (static_cast<double>(change_phase_bytes) -
                               static_cast<double>(idle_bytes) * kChanges) /
                              (node_count * kChanges);
  std::printf(
      "%5zu VMs %-34s convergence: median %4.0f ms, p99 %5.0f ms, maximum "
      "%5.0f ms, %zu of %.0f; sent per node: %4.0f bytes per change, %4.0f "
      "bytes per idle second; violations %zu\n",
      vms, tested.name, Milliseconds(times[times.size() / 2]),
      Milliseconds(times[times.size() * 99 / 100]), Milliseconds(times.back()),
      times.size(), node_count * kChanges, change_bytes,
      static_cast<double>(idle_bytes) / (node_count * 10),
      fleet.violations.size());
}

/// Restarts all VMs of a failure domain at once, without any stored state, and
/// measures until they hold the version again.
void MeasureDomainRestart(std::size_t vms, std::size_t files) {
  testing::fleet_settings settings{.vms = vms, .domains = 13, .regions = 5};
  spread_fleet fleet(settings);
  fleet.message_size = [](const message& content) {
    return EncodeMessage(content).size() + kFramingBytes;
  };
  fleet.Run(seconds{2});
  fleet.Publish(1, FolderAt(1, files), 0);
  fleet.Run(seconds{20});
  std::vector<std::size_t> restarted;
  for (std::size_t i = 0; i < vms; ++i) {
    if (fleet.nodes[i].domain == "d1") {
      restarted.push_back(i);
      fleet.Kill(i);
    }
  }
  for (const auto each : restarted) {
    fleet.Restart(each);
  }
  for (auto& each : fleet.nodes) {
    each.sent_bytes = 0;
  }
  const auto started = fleet.now;
  while (fleet.CountHolding(1) < vms &&
         fleet.now - started < std::chrono::minutes{2}) {
    fleet.Run(milliseconds{100});
  }
  std::uint64_t max_bytes_sent = 0;
  for (const auto& each : fleet.nodes) {
    max_bytes_sent = std::max(max_bytes_sent, each.sent_bytes);
  }
  std::printf(
      "%5zu VMs, %zu of them restarted, %zu files: %zu hold the version after "
      "%.0f ms; %.0f bytes sent by all nodes per restarted VM, %.0f by the "
      "node that sent most\n",
      vms, restarted.size(), files, fleet.CountHolding(1),
      Milliseconds(fleet.now - started),
      static_cast<double>(BytesSent(fleet)) /
          static_cast<double>(restarted.size()),
      static_cast<double>(max_bytes_sent));
}

}  // namespace

}  // namespace wagtailmount

int main(int argc, char** argv) {
  using wagtailmount::fleet_case;
  using wagtailmount::overlay_settings;
  const overlay_settings dense{2, 1, 2, 2};
  const overlay_settings sparse{1, 6, 1, 1};
  const std::vector<fleet_case> cases = {
      {"no faults", 0, false, {}, std::chrono::seconds{2}},
      {"no faults, compare 5 s", 0, false, {}, std::chrono::seconds{5}},
      {"no faults, dense overlay", 0, false, dense, std::chrono::seconds{2}},
      {"no faults, sparse overlay", 0, false, sparse, std::chrono::seconds{2}},
      {"2 % loss", 0.02, false, {}, std::chrono::seconds{2}},
      {"2 % loss, compare 5 s", 0.02, false, {}, std::chrono::seconds{5}},
      {"2 % loss, sparse overlay", 0.02, false, sparse,
       std::chrono::seconds{2}},
      {"a failure domain separated", 0, true, {}, std::chrono::seconds{2}},
  };
  std::vector<std::size_t> sizes;
  for (int i = 1; i < argc; ++i) {
    sizes.push_back(std::strtoul(argv[i], nullptr, 10));
  }
  if (sizes.empty()) {
    sizes = {130, 390, 1300};
  }
  for (const auto vms : sizes) {
    for (const auto& each : cases) {
      wagtailmount::Measure(vms, each);
    }
    wagtailmount::MeasureDomainRestart(vms, 1'000);
  }
  return 0;
}
