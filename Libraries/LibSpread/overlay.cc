#include "LibSpread/overlay.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace wagtailmount {

namespace {

using detail::domain_ring;
using detail::placed_vm;

constexpr unsigned kRingBits = 64;
constexpr std::uint64_t kDomainSalt = 0x9ae16a3b2f90404fULL;

/// Finalizes a hash by mixing its bits (the SplitMix64 finalizer); the rings
/// need no cryptographic hash.
std::uint64_t Mix(std::uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

/// The position of a VM on its ring, or the hash of a failure domain: FNV-1a,
/// then Mix().
std::uint64_t PlaceOf(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
  }
  return Mix(hash);
}

bool ComesBefore(const placed_vm& left, const placed_vm& right) {
  return std::tie(left.place, left.vm) < std::tie(right.place, right.vm);
}

/// The first VM other than `self` at or after `target` on the ring, or null.
const placed_vm* FirstFrom(const std::vector<placed_vm>& ring,
                           std::uint64_t target, std::string_view self) {
  auto found = std::lower_bound(ring.begin(), ring.end(), target,
                                [](const placed_vm& each, std::uint64_t place) {
                                  return each.place < place;
                                });
  for (std::size_t i = 0; i < ring.size(); ++i, ++found) {
    found = found == ring.end() ? ring.begin() : found;
    if (found->vm != self) {
      return &*found;
    }
  }
  return nullptr;
}

class link_list {
 public:
  void Add(std::string_view vm, overlay_link_kind kind) {
    const bool is_known =
        std::any_of(links_.begin(), links_.end(),
                    [&](const overlay_link& link) { return link.vm == vm; });
    if (!is_known) {
      links_.push_back({std::string(vm), kind});
    }
  }

  std::vector<overlay_link> Take() && { return std::move(links_); }

 private:
  std::vector<overlay_link> links_;
};

void AddOwnDomain(std::string_view self, const std::vector<placed_vm>& ring,
                  const overlay_settings& chosen, link_list& links) {
  const std::uint64_t place = PlaceOf(self);
  std::uint64_t after = place + 1;
  std::uint64_t last_distance = 0;
  for (std::size_t i = 0; i < std::min(chosen.successors, ring.size()); ++i) {
    const placed_vm* next = FirstFrom(ring, after, self);
    if (next == nullptr) {
      return;
    }
    links.Add(next->vm, overlay_link_kind::kSuccessor);
    last_distance = next->place - place;
    after = next->place + 1;
  }
  for (unsigned shift = chosen.finger_base_bits; shift < kRingBits;
       shift += chosen.finger_base_bits) {
    const std::uint64_t distance = std::uint64_t{1} << (kRingBits - shift);
    if (distance <= last_distance) {
      return;
    }
    const placed_vm* finger = FirstFrom(ring, place + distance, self);
    links.Add(finger->vm, overlay_link_kind::kFinger);
  }
}

/// Adds a link to one VM in each of the `count` rings that rendezvous hashing
/// ranks first for the node at `place`.
void AddOthers(std::uint64_t place, std::vector<const domain_ring*> rings,
               std::size_t count, overlay_link_kind kind, link_list& links) {
  const auto draw = [place](const domain_ring* ring) {
    return Mix(place ^ PlaceOf(ring->failure_domain));
  };
  std::sort(rings.begin(), rings.end(),
            [&](const domain_ring* left, const domain_ring* right) {
              return std::pair(draw(left), left->failure_domain) <
                     std::pair(draw(right), right->failure_domain);
            });
  rings.resize(std::min(count, rings.size()));
  for (const auto* ring : rings) {
    const placed_vm* counterpart =
        FirstFrom(ring->ring, Mix(place ^ kDomainSalt), {});
    links.Add(counterpart->vm, kind);
  }
}

/// Selects one failure domain of each region by rendezvous hashing.
std::vector<const domain_ring*> OneOfEachRegion(
    std::uint64_t place, const std::vector<const domain_ring*>& rings) {
  std::unordered_map<std::string_view, const domain_ring*> drawn;
  for (const auto* ring : rings) {
    auto& best = drawn[ring->region];
    const auto draw = [place](const domain_ring* candidate) {
      return Mix(place + PlaceOf(candidate->failure_domain));
    };
    if (best == nullptr || draw(ring) < draw(best)) {
      best = ring;
    }
  }
  std::vector<const domain_ring*> one_of_each;
  one_of_each.reserve(drawn.size());
  for (const auto& [region, ring] : drawn) {
    one_of_each.push_back(ring);
  }
  return one_of_each;
}

}  // namespace

std::string_view NameOf(overlay_link_kind kind) {
  switch (kind) {
    case overlay_link_kind::kSuccessor:
      return "successor";
    case overlay_link_kind::kFinger:
      return "finger";
    case overlay_link_kind::kDomainLink:
      return "domain link";
    case overlay_link_kind::kRegionLink:
      return "region link";
  }
  return "unknown";
}

overlay_rings::overlay_rings(std::span<const overlay_vm> vms) {
  std::unordered_map<std::string_view, std::size_t> numbers;
  for (const auto& each : vms) {
    const auto [number, is_new] =
        numbers.try_emplace(each.failure_domain, rings_.size());
    if (is_new) {
      rings_.push_back({each.failure_domain, each.region, {}});
    }
    rings_[number->second].ring.push_back({PlaceOf(each.vm), each.vm});
  }
  for (auto& each : rings_) {
    std::sort(each.ring.begin(), each.ring.end(), ComesBefore);
  }
}

std::vector<overlay_link> overlay_rings::LinksOf(
    const overlay_vm& self, const overlay_settings& chosen) const {
  const std::uint64_t place = PlaceOf(self.vm);
  std::vector<const domain_ring*> same_region;
  std::vector<const domain_ring*> other_regions;
  link_list links;
  for (const auto& ring : rings_) {
    if (ring.failure_domain == self.failure_domain) {
      AddOwnDomain(self.vm, ring.ring, chosen, links);
    } else if (ring.region == self.region) {
      same_region.push_back(&ring);
    } else {
      other_regions.push_back(&ring);
    }
  }
  AddOthers(place, same_region, chosen.domain_links,
            overlay_link_kind::kDomainLink, links);
  AddOthers(place, OneOfEachRegion(place, other_regions), chosen.region_links,
            overlay_link_kind::kRegionLink, links);
  return std::move(links).Take();
}

std::vector<overlay_link> LinksOf(const overlay_vm& self,
                                  std::span<const overlay_vm> vms,
                                  const overlay_settings& chosen) {
  return overlay_rings(vms).LinksOf(self, chosen);
}

}  // namespace wagtailmount
