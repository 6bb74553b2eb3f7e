// Measures the calls that fleets of 1,000 to 12,000 nodes make to the platform,
// and the CPU time that reading costs one node. All nodes run in this process
// against a fake platform on a manual clock.
#include <cstddef>
#include <cstdio>
#include <ctime>
#include <string>

#include "Tests/LibSource/simulated_fleet.h"

namespace wagtailmount {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kFiles = 3'000;

double ThreadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

void PublishFiles(fake_platform& platform) {
  fake_platform::folder files;
  for (std::size_t i = 0; i < kFiles; ++i) {
    files["file-" + std::to_string(i)] = "content " + std::to_string(i);
  }
  platform.Publish(std::move(files));
}

double CallsPerSecond(simulated_fleet& fleet, seconds period, bool edits) {
  constexpr seconds kEditPeriod{4};
  const auto before = fleet.platform.calls;
  for (seconds passed{0}; passed < period; passed += kEditPeriod) {
    if (edits) {
      fleet.platform.Put("file-7", std::to_string(passed.count()));
    }
    fleet.Run(kEditPeriod);
  }
  return static_cast<double>(fleet.platform.calls - before) /
         static_cast<double>(period.count());
}

void MeasureFleet(std::size_t size) {
  simulated_fleet fleet(size);
  PublishFiles(fleet.platform);
  seconds first_read_time{0};
  while (fleet.ConfirmedRevision() == 0 && first_read_time < minutes{30}) {
    fleet.Run(seconds{1});
    first_read_time += seconds{1};
  }
  const auto max_calls_at_start = fleet.platform.max_calls_per_second;
  fleet.Run(minutes{1}, simulated_fleet::kLongStep);
  const double idle = CallsPerSecond(fleet, seconds{60}, false);
  const double edited = CallsPerSecond(fleet, seconds{40}, true);
  std::printf("%6zu  %7zu  %10.2f  %16.2f  %14llu  %12lld\n", size,
              fleet.ReaderCount(), idle, edited,
              static_cast<unsigned long long>(max_calls_at_start),
              static_cast<long long>(first_read_time.count()));
  std::fflush(stdout);
}

/// Measures one reader whose read budget is too large to delay it.
void MeasureSingleReader() {
  manual_clock clock;
  random_source random(1);
  fake_platform platform(clock);
  PublishFiles(platform);
  read_budget budget({"vm-1", 1e6, 1}, clock.Now(), random);
  std::size_t snapshots = 0;
  folder_reader reader(
      platform, budget, clock, random, {},
      {[&](std::uint64_t, const auto&) { ++snapshots; }, nullptr, nullptr});
  reader.SetReading(true);
  // The time includes the fake platform's work on its answers, but not its
  // edits.
  const auto run = [&](int steps) {
    const double begin = ThreadCpuSeconds();
    for (int i = 0; i < steps; ++i) {
      clock.Advance(std::chrono::milliseconds{100});
      platform.Run();
      reader.Tick(clock.Now());
    }
    return ThreadCpuSeconds() - begin;
  };
  const double first = run(3'000);
  constexpr int kEdits = 20;
  double edits = 0;
  for (int i = 0; i < kEdits; ++i) {
    platform.Put("file-7", std::to_string(i));
    edits += run(20);
  }
  const double idle = run(10'000);
  std::printf(
      "one reader with %zu files, including the fake platform's work: whole "
      "folder %.1f ms, one edit %.2f ms, one tick %.2f us; %zu snapshots\n",
      kFiles, first * 1e3, edits * 1e3 / kEdits, idle * 1e6 / 10'000,
      snapshots);
}

}  // namespace

}  // namespace wagtailmount

int main() {
  std::printf(
      "   VMs  readers  idle calls/s  calls/s at edits  max/s at start  first "
      "read (s)\n");
  for (const std::size_t size : {1'000U, 4'000U, 12'000U}) {
    wagtailmount::MeasureFleet(size);
  }
  wagtailmount::MeasureSingleReader();
  return 0;
}
