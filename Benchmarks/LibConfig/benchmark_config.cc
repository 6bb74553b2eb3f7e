// Measures, for several folder sizes, the CPU time to accept one changed file
// compared with accepting the whole folder from scratch, the memory that an
// accepted version uses, and the CPU time of a route lookup compared with a
// scan of all routes.
#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>

#include "Benchmarks/LibConfig/generated_folder.h"
#include "LibBase/random.h"
#include "LibConfig/acceptance.h"
#include "LibConfig/route_order.h"

namespace wagtailmount::benchmarks {

namespace {

constexpr std::size_t kChanges = 60;
constexpr std::size_t kFullRuns = 5;
constexpr std::size_t kLookups = 200'000;
constexpr std::size_t kScanLookups = 2'000;
constexpr double kMillisecondsPerSecond = 1e3;
constexpr double kNanosecondsPerSecond = 1e9;
constexpr double kBytesPerMegabyte = 1e6;
constexpr std::uint64_t kSeed = 11;

double CpuSeconds() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) +
         static_cast<double>(used.tv_nsec) / kNanosecondsPerSecond;
}

std::size_t AllocatedBytes() {
  const auto state = mallinfo2();
  return state.uordblks + state.hblkhd;
}

std::shared_ptr<const configuration> Accept(
    std::uint64_t revision, const std::vector<config_file>& files,
    const configuration* previous) {
  auto result = AcceptFolder(revision, files, previous);
  if (!result.has_value()) {
    std::cerr << result.error().reasons.front().file << " "
              << result.error().reasons.front().reason << "\n";
    std::exit(1);
  }
  return std::move(*result);
}

/// A kind of change to a folder; `apply` gets the folder and the index of the
/// change.
struct change_kind {
  const char* name;
  std::function<void(std::vector<config_file>&, std::size_t)> apply;
};

/// Returns the service whose file a change edits; consecutive changes are
/// spread over the folder.
std::size_t EditedService(std::size_t change, std::size_t services) {
  return change * 37 % services;
}

/// Replaces the file of the same name, which must exist.
void Replace(std::vector<config_file>& files, config_file changed) {
  const auto found = std::find_if(
      files.begin(), files.end(),
      [&changed](const auto& each) { return each.name == changed.name; });
  *found = std::move(changed);
}

std::vector<change_kind> ChangeKinds(std::size_t services) {
  const auto replace = [services](std::vector<config_file>& files,
                                  std::size_t change, std::size_t slots,
                                  std::size_t routes, std::size_t deadline) {
    const std::size_t service = EditedService(change, services);
    Replace(files, MakeFile(ServiceFileName(service),
                            ServiceFile(service, slots, routes, deadline)));
  };
  return {
      {"route's deadline",
       [replace](auto& files, auto change) {
         replace(files, change, 20, 2, 3'000 + change);
       }},
      {"service's limits",
       [replace](auto& files, auto change) {
         replace(files, change, 30 + change, 2, 2'000);
       }},
      {"route more or less",
       [replace](auto& files, auto change) {
         replace(files, change, 20, change % 2 == 0 ? 3 : 1, 2'000);
       }},
      {"file added or removed",
       [](auto& files, auto change) {
         if (change % 2 == 0) {
           files.push_back(MakeFile("90-new.json", R"({"team": "new"})"));
         } else {
           files.pop_back();
         }
       }},
  };
}

struct timing {
  double median_ms = 0;
  double worst_ms = 0;
};

timing SummarizeSamples(std::vector<double> samples) {
  std::sort(samples.begin(), samples.end());
  return {samples[samples.size() / 2] * kMillisecondsPerSecond,
          samples.back() * kMillisecondsPerSecond};
}

/// Accepts a series of changes, releasing the previous version after each as a
/// node does. The CPU time includes both the acceptance and the release.
timing MeasureChanges(const std::vector<config_file>& folder,
                      const change_kind& kind) {
  auto files = folder;
  auto current = Accept(1, files, nullptr);
  std::vector<double> samples;
  for (std::size_t change = 0; change < kChanges; ++change) {
    kind.apply(files, change);
    const double begin = CpuSeconds();
    current = Accept(change + 2, files, current.get());
    samples.push_back(CpuSeconds() - begin);
  }
  return SummarizeSamples(std::move(samples));
}

timing MeasureFullAcceptance(const std::vector<config_file>& folder) {
  std::vector<double> samples;
  for (std::size_t run = 0; run < kFullRuns; ++run) {
    const double begin = CpuSeconds();
    Accept(1, folder, nullptr);
    samples.push_back(CpuSeconds() - begin);
  }
  return SummarizeSamples(std::move(samples));
}

void PrintMemory(const std::vector<config_file>& folder) {
  std::size_t content_bytes = 0;
  for (const auto& file : folder) {
    content_bytes += file.content->size();
  }
  const std::size_t before = AllocatedBytes();
  const auto current = Accept(1, folder, nullptr);
  const std::size_t first_bytes = AllocatedBytes() - before;
  auto files = folder;
  Replace(files, MakeFile(ServiceFileName(0), ServiceFile(0, 33, 2, 2'000)));
  const std::size_t before_second = AllocatedBytes();
  const auto second = Accept(2, files, current.get());
  const std::size_t second_bytes = AllocatedBytes() - before_second;
  std::cout << "  memory: file contents " << content_bytes / kBytesPerMegabyte
            << " MB, first version " << first_bytes / kBytesPerMegabyte
            << " MB in addition, second version after one change "
            << second_bytes / kBytesPerMegabyte << " MB in addition\n";
}

const route* FindByScan(const configuration& accepted, std::string_view host,
                        std::string_view path, std::string_view method) {
  for (const auto& each : accepted.Routes()) {
    if ((each->host.empty() || each->host == host) &&
        path.starts_with(each->path_prefix) && TakesMethod(*each, method)) {
      return each.get();
    }
  }
  return nullptr;
}

template <typename T>
double NanosecondsPerLookup(std::size_t count, const configuration& accepted,
                            T find) {
  random_source random(kSeed);
  const auto routes = accepted.Routes();
  std::size_t found = 0;
  const double begin = CpuSeconds();
  for (std::size_t i = 0; i < count; ++i) {
    const route& wanted = *routes[random.Below(routes.size())];
    const std::string path = wanted.path_prefix + "/accounts/7";
    found += find(wanted.host, path, wanted.methods.front()) == &wanted;
  }
  const double used = CpuSeconds() - begin;
  if (found != count) {
    std::cerr << "a lookup returned the wrong route\n";
    std::exit(1);
  }
  return used * kNanosecondsPerSecond / static_cast<double>(count);
}

void PrintLookups(const std::vector<config_file>& folder) {
  const auto current = Accept(1, folder, nullptr);
  const double indexed = NanosecondsPerLookup(
      kLookups, *current, [&current](auto host, auto path, auto method) {
        return current->FindRoute(host, path, method);
      });
  const double scanned = NanosecondsPerLookup(
      kScanLookups, *current, [&current](auto host, auto path, auto method) {
        return FindByScan(*current, host, path, method);
      });
  std::cout << "  lookup: " << indexed << " ns, by scanning all routes "
            << scanned << " ns\n";
}

void MeasureSize(const folder_size& size) {
  const auto folder = GenerateFolder(size);
  std::cout << size.services << " services, " << size.routes << " routes, "
            << size.files << " files\n";
  const timing full = MeasureFullAcceptance(folder);
  std::cout << "  full acceptance: median " << full.median_ms << " ms, worst "
            << full.worst_ms << " ms\n";
  for (const auto& kind : ChangeKinds(size.services)) {
    const timing incremental = MeasureChanges(folder, kind);
    std::cout << "  one change, " << kind.name << ": median "
              << incremental.median_ms << " ms, worst " << incremental.worst_ms
              << " ms\n";
  }
  PrintMemory(folder);
  PrintLookups(folder);
}

}  // namespace

}  // namespace wagtailmount::benchmarks

int main() {
  using wagtailmount::benchmarks::folder_size;
  std::cout << std::fixed << std::setprecision(2)
            << "CPU time of the process\n";
  for (const folder_size& size :
       {folder_size{388, 750, 500}, folder_size{775, 1'500, 1'000},
        folder_size{1'550, 3'000, 2'000}, folder_size{3'100, 6'000, 4'000},
        folder_size{6'200, 12'000, 8'000}}) {
    wagtailmount::benchmarks::MeasureSize(size);
  }
  return 0;
}
