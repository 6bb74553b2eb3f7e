#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailmount {

/// What the overlay needs to know of a VM. The viewed strings must outlive the
/// call.
struct overlay_vm {
  std::string_view vm;
  std::string_view region;
  std::string_view failure_domain;
};

/// Why a node keeps a link.
enum class overlay_link_kind : std::uint8_t {
  kSuccessor,   ///< To one of the next VMs on the ring of its failure domain.
  kFinger,      ///< To a VM further along that ring, as in Chord.
  kDomainLink,  ///< To another failure domain of its region.
  kRegionLink,  ///< To another region.
};

std::string_view NameOf(overlay_link_kind kind);

struct overlay_link {
  std::string vm;
  overlay_link_kind kind = overlay_link_kind::kSuccessor;
};

/// How many links each node opens. Links carry messages in both directions, so
/// with the links that others open to it a node has about twice as many.
struct overlay_settings {
  std::size_t successors = 2;
  /// Fingers point to the VMs at 1/b, 1/b^2, 1/b^3, ... of the ring ahead, with
  /// b being two to the power of this.
  unsigned finger_base_bits = 2;
  /// Links to other failure domains of the same region, one to each.
  std::size_t domain_links = 1;
  /// Links to other regions, one to each.
  std::size_t region_links = 1;
};

namespace detail {

struct ring_entry {
  std::uint64_t position = 0;  ///< Hash position on the failure domain's ring.
  std::string_view vm;
};

struct domain_ring {
  std::string_view failure_domain;
  std::string_view region;
  std::vector<ring_entry> entries;  ///< In ascending order of position.
};

}  // namespace detail

/// Places the VMs of the fleet on one consistent-hashing ring per failure
/// domain.
class overlay_rings {
 public:
  /// The strings that `vms` views must outlive the object.
  explicit overlay_rings(std::span<const overlay_vm> vms);

  /// The links that the node `self` keeps. All nodes with the same list of VMs
  /// compute the same links. When a VM is added or removed, only the links that
  /// point to its position on the ring change.
  std::vector<overlay_link> LinksOf(const overlay_vm& self,
                                    const overlay_settings& settings) const;

 private:
  std::vector<detail::domain_ring> rings_;
};

/// The links that the node `self` keeps, given the list of all VMs (it may
/// contain `self`). A pure function.
std::vector<overlay_link> LinksOf(const overlay_vm& self,
                                  std::span<const overlay_vm> vms,
                                  const overlay_settings& settings);

}  // namespace wagtailmount
