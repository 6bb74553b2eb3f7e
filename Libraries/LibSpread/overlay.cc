#include "LibSpread/overlay.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace wagtailmount {

namespace {

using detail::domain_ring;
using detail::ring_entry;

constexpr unsigned kRingBits = 64;
constexpr std::uint64_t kRemoteLinkSalt = 0x9ae16a3b2f90404fULL;

/// Finalizes a hash by mixing its bits (the SplitMix64 finalizer); the rings
/// need no cryptographic hash.
std::uint64_t Mix(std::uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

/// The position of a VM on its ring, or the hash of a failure domain: FNV-1a,
/// then Mix().
std::uint64_t RingPosition(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
  }
  return Mix(hash);
}

bool ComesBefore(const ring_entry& left, const ring_entry& right) {
  return std::tie(left.position, left.vm) < std::tie(right.position, right.vm);
}

/// The first VM other than `self` at or after `target` on the ring, or null.
const ring_entry* FirstAtOrAfter(const std::vector<ring_entry>& ring,
                                 std::uint64_t target, std::string_view self) {
  auto found =
      std::lower_bound(ring.begin(), ring.end(), target,
                       [](const ring_entry& each, std::uint64_t position) {
                         return each.position < position;
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

void AddOwnDomainLinks(std::string_view self,
                       const std::vector<ring_entry>& ring,
                       const overlay_settings& settings, link_list& links) {
  const std::uint64_t position = RingPosition(self);
  std::uint64_t after = position + 1;
  std::uint64_t last_distance = 0;
  for (std::size_t i = 0; i < std::min(settings.successors, ring.size()); ++i) {
    const ring_entry* next = FirstAtOrAfter(ring, after, self);
    if (next == nullptr) {
      return;
    }
    links.Add(next->vm, overlay_link_kind::kSuccessor);
    last_distance = next->position - position;
    after = next->position + 1;
  }
  for (unsigned shift = settings.finger_base_bits; shift < kRingBits;
       shift += settings.finger_base_bits) {
    const std::uint64_t distance = std::uint64_t{1} << (kRingBits - shift);
    if (distance <= last_distance) {
      return;
    }
    const ring_entry* finger = FirstAtOrAfter(ring, position + distance, self);
    links.Add(finger->vm, overlay_link_kind::kFinger);
  }
}

/// Adds a link to one VM in each of the `count` rings that rendezvous hashing
/// ranks first for the node at `position`.
void AddRemoteLinks(std::uint64_t position,
                    std::vector<const domain_ring*> rings, std::size_t count,
                    overlay_link_kind kind, link_list& links) {
  const auto rendezvous_hash = [position](const domain_ring* ring) {
    return Mix(position ^ RingPosition(ring->failure_domain));
  };
  std::sort(rings.begin(), rings.end(),
            [&](const domain_ring* left, const domain_ring* right) {
              return std::pair(rendezvous_hash(left), left->failure_domain) <
                     std::pair(rendezvous_hash(right), right->failure_domain);
            });
  rings.resize(std::min(count, rings.size()));
  for (const auto* ring : rings) {
    const ring_entry* target_vm =
        FirstAtOrAfter(ring->entries, Mix(position ^ kRemoteLinkSalt), {});
    links.Add(target_vm->vm, kind);
  }
}

/// Selects one failure domain of each region by rendezvous hashing.
std::vector<const domain_ring*> SelectOnePerRegion(
    std::uint64_t position, const std::vector<const domain_ring*>& rings) {
  std::unordered_map<std::string_view, const domain_ring*> best_rings;
  for (const auto* ring : rings) {
    auto& best = best_rings[ring->region];
    const auto rendezvous_hash = [position](const domain_ring* candidate) {
      return Mix(position + RingPosition(candidate->failure_domain));
    };
    if (best == nullptr || rendezvous_hash(ring) < rendezvous_hash(best)) {
      best = ring;
    }
  }
  std::vector<const domain_ring*> one_of_each;
  one_of_each.reserve(best_rings.size());
  for (const auto& [region, ring] : best_rings) {
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
  std::unordered_map<std::string_view, std::size_t> ring_indices;
  for (const auto& each : vms) {
    const auto [index, is_new] =
        ring_indices.try_emplace(each.failure_domain, rings_.size());
    if (is_new) {
      rings_.push_back({each.failure_domain, each.region, {}});
    }
    rings_[index->second].entries.push_back({RingPosition(each.vm), each.vm});
  }
  for (auto& each : rings_) {
    std::sort(each.entries.begin(), each.entries.end(), ComesBefore);
  }
}

std::vector<overlay_link> overlay_rings::LinksOf(
    const overlay_vm& self, const overlay_settings& settings) const {
  const std::uint64_t position = RingPosition(self.vm);
  std::vector<const domain_ring*> same_region;
  std::vector<const domain_ring*> other_regions;
  link_list links;
  for (const auto& ring : rings_) {
    if (ring.failure_domain == self.failure_domain) {
      AddOwnDomainLinks(self.vm, ring.entries, settings, links);
    } else if (ring.region == self.region) {
      same_region.push_back(&ring);
    } else {
      other_regions.push_back(&ring);
    }
  }
  AddRemoteLinks(position, same_region, settings.domain_links,
                 overlay_link_kind::kDomainLink, links);
  AddRemoteLinks(position, SelectOnePerRegion(position, other_regions),
                 settings.region_links, overlay_link_kind::kRegionLink, links);
  return std::move(links).Take();
}

std::vector<overlay_link> LinksOf(const overlay_vm& self,
                                  std::span<const overlay_vm> vms,
                                  const overlay_settings& settings) {
  return overlay_rings(vms).LinksOf(self, settings);
}

}  // namespace wagtailmount
