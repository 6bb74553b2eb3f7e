#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibSpread/overlay.h"

namespace wagtailmount {

namespace {

constexpr std::size_t kDomains = 13;
constexpr std::size_t kRegions = 5;

/// A fleet of VMs. It owns the strings that the views in `vms` refer to.
struct named_fleet {
  explicit named_fleet(std::size_t size) {
    names.reserve(size);
    for (std::size_t i = 0; i < size; ++i) {
      names.push_back("vm-" + std::to_string(i));
    }
    for (std::size_t i = 0; i < size; ++i) {
      const std::size_t domain = i % kDomains;
      vms.push_back({names[i], regions[domain % kRegions], domains[domain]});
    }
  }

  std::vector<std::string> names;
  std::vector<std::string> domains = {"d0",  "d1",  "d2", "d3", "d4",
                                      "d5",  "d6",  "d7", "d8", "d9",
                                      "d10", "d11", "d12"};
  std::vector<std::string> regions = {"r0", "r1", "r2", "r3", "r4"};
  std::vector<overlay_vm> vms;
};

using graph = std::map<std::string, std::set<std::string>>;

graph GraphOf(const std::vector<overlay_vm>& vms) {
  graph links;
  for (const auto& self : vms) {
    for (const auto& link : LinksOf(self, vms, {})) {
      links[std::string(self.vm)].insert(link.vm);
      links[link.vm].insert(std::string(self.vm));
    }
  }
  return links;
}

std::size_t CountReachable(const graph& links,
                           const std::set<std::string>& excluded) {
  std::set<std::string> seen;
  std::vector<std::string> pending;
  for (const auto& [vm, peers] : links) {
    if (pending.empty() && !excluded.contains(vm)) {
      pending.push_back(vm);
      seen.insert(vm);
    }
  }
  while (!pending.empty()) {
    const auto vm = pending.back();
    pending.pop_back();
    for (const auto& peer : links.at(vm)) {
      if (!excluded.contains(peer) && seen.insert(peer).second) {
        pending.push_back(peer);
      }
    }
  }
  return seen.size();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(overlay_suite)

BOOST_AUTO_TEST_CASE(EveryNodeIsReachable) {
  for (const std::size_t size : {2U, 3U, 14U, 40U, 390U}) {
    const named_fleet fleet(size);
    BOOST_TEST(CountReachable(GraphOf(fleet.vms), {}) == size);
  }
}

BOOST_AUTO_TEST_CASE(LossOfAnyDomainLeavesTheRestConnected) {
  const named_fleet fleet(390);
  const auto links = GraphOf(fleet.vms);
  for (const auto& lost_domain : fleet.domains) {
    std::set<std::string> excluded;
    for (const auto& each : fleet.vms) {
      if (each.failure_domain == lost_domain) {
        excluded.emplace(each.vm);
      }
    }
    BOOST_TEST(CountReachable(links, excluded) ==
               fleet.vms.size() - excluded.size());
  }
}

BOOST_AUTO_TEST_CASE(EveryNodeHasLinksIntoTwoOtherDomains) {
  const named_fleet fleet(390);
  std::map<std::string, std::string_view> domain_of;
  for (const auto& each : fleet.vms) {
    domain_of[std::string(each.vm)] = each.failure_domain;
  }
  for (const auto& self : fleet.vms) {
    std::set<std::string_view> other_domains;
    for (const auto& link : LinksOf(self, fleet.vms, {})) {
      other_domains.insert(domain_of[link.vm]);
    }
    other_domains.erase(self.failure_domain);
    BOOST_TEST(other_domains.size() >= 2U);
  }
}

BOOST_AUTO_TEST_CASE(LinksDoNotDependOnTheOrderOfVms) {
  const named_fleet fleet(200);
  auto reversed = fleet.vms;
  std::reverse(reversed.begin(), reversed.end());
  for (const auto& self : fleet.vms) {
    std::set<std::string> forwards;
    std::set<std::string> backwards;
    for (const auto& link : LinksOf(self, fleet.vms, {})) {
      forwards.insert(link.vm);
    }
    for (const auto& link : LinksOf(self, reversed, {})) {
      backwards.insert(link.vm);
    }
    BOOST_TEST((forwards == backwards));
    BOOST_TEST(!forwards.contains(std::string(self.vm)));
  }
}

BOOST_AUTO_TEST_CASE(AddingAVmMovesFewLinks) {
  const named_fleet fleet(1300);
  const std::vector<overlay_vm> before(fleet.vms.begin(), fleet.vms.end() - 1);
  std::size_t moved = 0;
  for (const auto& self : before) {
    std::set<std::string> old_links;
    for (const auto& link : LinksOf(self, before, {})) {
      old_links.insert(link.vm);
    }
    for (const auto& link : LinksOf(self, fleet.vms, {})) {
      moved += old_links.contains(link.vm) ? 0 : 1;
    }
  }
  BOOST_TEST(moved > 0U);
  BOOST_TEST(moved < 40U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
