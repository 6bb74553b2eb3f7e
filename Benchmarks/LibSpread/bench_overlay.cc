// Computes the overlay of the whole fleet for several densities, and prints the
// links per node and, with several faults, the nodes reached and the hops.
// Usage: BenchOverlay [VMS]
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibSpread/overlay.h"

namespace wagtailmount {

namespace {

constexpr std::size_t kDomains = 13;
/// The region of each failure domain.
constexpr std::size_t kRegionOf[kDomains] = {0, 0, 0, 1, 1, 1, 2,
                                             2, 2, 3, 3, 4, 4};

using graph = std::vector<std::vector<std::size_t>>;

/// A fleet of VMs. It owns the strings that the views in `vms` refer to.
struct named_fleet {
  explicit named_fleet(std::size_t size) {
    for (std::size_t i = 0; i < kDomains; ++i) {
      domains.push_back("domain-" + std::to_string(i));
      regions.push_back("region-" + std::to_string(kRegionOf[i]));
    }
    names.reserve(size);
    for (std::size_t i = 0; i < size; ++i) {
      names.push_back("vm-" + std::to_string(i));
      vms.push_back({names[i], regions[i % kDomains], domains[i % kDomains]});
    }
  }

  std::vector<std::string> domains;
  std::vector<std::string> regions;
  std::vector<std::string> names;
  std::vector<overlay_vm> vms;
};

graph GraphOf(const named_fleet& fleet, const overlay_settings& settings) {
  graph links(fleet.vms.size());
  const overlay_rings rings(fleet.vms);
  for (std::size_t i = 0; i < fleet.vms.size(); ++i) {
    for (const auto& link : rings.LinksOf(fleet.vms[i], settings)) {
      const std::size_t peer = std::stoul(link.vm.substr(3));
      links[i].push_back(peer);
      links[peer].push_back(i);
    }
  }
  for (auto& peers : links) {
    std::sort(peers.begin(), peers.end());
    peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
  }
  return links;
}

struct reachability {
  std::size_t alive = 0;
  std::size_t reached = 0;
  std::size_t max_hops = 0;
  double mean_hops = 0;
};

/// Searches breadth-first from the first running node over the working links.
reachability MeasureReachability(
    const graph& links, const std::function<bool(std::size_t)>& is_alive,
    const std::function<bool(std::size_t, std::size_t)>& is_open) {
  reachability result;
  std::vector<int> hops(links.size(), -1);
  std::vector<std::size_t> frontier;
  for (std::size_t i = 0; i < links.size(); ++i) {
    result.alive += is_alive(i) ? 1 : 0;
    if (frontier.empty() && is_alive(i)) {
      frontier.push_back(i);
      hops[i] = 0;
    }
  }
  std::size_t sum = 0;
  for (std::size_t depth = 0; !frontier.empty(); ++depth) {
    result.max_hops = depth;
    result.reached += frontier.size();
    sum += depth * frontier.size();
    std::vector<std::size_t> next;
    for (const auto i : frontier) {
      for (const auto peer : links[i]) {
        if (hops[peer] < 0 && is_alive(peer) && is_open(i, peer)) {
          hops[peer] = static_cast<int>(depth) + 1;
          next.push_back(peer);
        }
      }
    }
    frontier = std::move(next);
  }
  result.mean_hops =
      static_cast<double>(sum) / static_cast<double>(result.reached);
  return result;
}

void PrintReachability(const char* fault, const reachability& measured) {
  std::printf("  %-34s reached %zu of %zu, hops mean %.1f maximum %zu\n", fault,
              measured.reached, measured.alive, measured.mean_hops,
              measured.max_hops);
}

void Measure(const named_fleet& fleet, const char* name,
             const overlay_settings& settings) {
  const auto links = GraphOf(fleet, settings);
  constexpr int kRounds = 20;
  const auto started = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    LinksOf(fleet.vms[static_cast<std::size_t>(i)], fleet.vms, settings);
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - started;
  std::vector<std::size_t> degrees;
  for (const auto& peers : links) {
    degrees.push_back(peers.size());
  }
  std::sort(degrees.begin(), degrees.end());
  std::size_t sum = 0;
  for (const auto degree : degrees) {
    sum += degree;
  }
  const auto count = degrees.size();
  std::printf(
      "%s: links per node: mean %.1f, p99 %zu, maximum %zu; the links of one "
      "node computed in %.0f us\n",
      name, static_cast<double>(sum) / static_cast<double>(count),
      degrees[count * 99 / 100], degrees.back(), elapsed.count() / kRounds);
  const auto every_node = [](std::size_t) { return true; };
  const auto every_link = [](std::size_t, std::size_t) { return true; };
  PrintReachability("no faults",
                    MeasureReachability(links, every_node, every_link));
  reachability worst;
  worst.reached = count;
  for (std::size_t lost = 0; lost < kDomains; ++lost) {
    const auto measured = MeasureReachability(
        links, [&](std::size_t i) { return i % kDomains != lost; }, every_link);
    if (worst.alive == 0 || measured.reached < worst.reached ||
        measured.max_hops > worst.max_hops) {
      worst = measured;
    }
  }
  PrintReachability("a failure domain lost (worst of 13)", worst);
  // No link between regions 0 and 1 works; all others do.
  const auto region = [](std::size_t i) { return kRegionOf[i % kDomains]; };
  PrintReachability("links between two regions lost",
                    MeasureReachability(links, every_node,
                                        [&](std::size_t i, std::size_t peer) {
                                          return region(i) + region(peer) != 1;
                                        }));
  // Region 4 is separated from the rest; each side is measured by itself.
  PrintReachability(
      "a region separated (the rest)",
      MeasureReachability(
          links, [&](std::size_t i) { return region(i) != 4; }, every_link));
  PrintReachability(
      "a region separated (that region)",
      MeasureReachability(
          links, [&](std::size_t i) { return region(i) == 4; }, every_link));
  random_source random(7);
  std::vector<bool> alive;
  for (std::size_t i = 0; i < count; ++i) {
    alive.push_back(random.Below(10) != 0);
  }
  PrintReachability(
      "a random tenth of nodes lost",
      MeasureReachability(
          links, [&](std::size_t i) { return alive[i]; }, every_link));
}

}  // namespace

}  // namespace wagtailmount

int main(int argc, char** argv) {
  using wagtailmount::overlay_settings;
  const std::size_t size =
      argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 22'000;
  const wagtailmount::named_fleet fleet(size);
  std::printf("%zu VMs, 13 failure domains, 5 regions\n", size);
  wagtailmount::Measure(fleet, "fingers 1/2, 2 domain and 2 region links",
                        overlay_settings{2, 1, 2, 2});
  wagtailmount::Measure(fleet, "fingers 1/4, 1 domain and 1 region link",
                        overlay_settings{2, 2, 1, 1});
  wagtailmount::Measure(fleet, "fingers 1/8, 1 domain and 1 region link",
                        overlay_settings{1, 3, 1, 1});
  wagtailmount::Measure(fleet, "fingers 1/64, 1 domain and 1 region link",
                        overlay_settings{1, 6, 1, 1});
  return 0;
}
