#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibCatalog/catalog_item.h"

namespace wagtailmount {

/// What changed between two revisions of a catalog, as one node tells another.
struct catalog_update {
  /// The bytes of all contents.
  std::size_t ContentBytes() const;

  std::uint64_t after = 0;  ///< Holds every change later than this revision.
  std::uint64_t complete_to = 0;  ///< And none is missing up to this one.
  std::vector<catalog_item> items;
};

/// This node's copy of what the platform publishes. Per key the highest
/// revision wins, whichever way it came, so that no source can bring back an
/// older state.
class catalog {
 public:
  /// Takes one item; false when as new a one is held.
  bool Take(const catalog_item& item);

  /// Takes items of a listing that tells nothing of other keys; what is
  /// complete stays as it is. Returns the keys that changed.
  std::vector<std::string> TakeSome(std::span<const catalog_item> items);

  /// Takes a whole listing that began at `complete_to`: held items that it
  /// lacks and that are no newer are removed. Returns the keys that changed.
  std::vector<std::string> TakeListing(std::span<const catalog_item> items,
                                       std::uint64_t complete_to);

  /// Takes an update that joins on to what is held. Returns the keys that
  /// changed; none, and nothing is taken, when it would leave a gap or holds a
  /// delta that does not fit.
  std::vector<std::string> TakeUpdate(const catalog_update& update);

  /// What a node that is complete up to `after` lacks; large contents as deltas
  /// where this node still knows what the other one holds.
  catalog_update UpdateAfter(std::uint64_t after) const;

  /// Null when the key is not held or was removed.
  const catalog_item* Find(std::string_view key) const;

  /// The items that begin with `prefix` and were not removed, in key order.
  std::vector<const catalog_item*> ItemsUnder(std::string_view prefix) const;

  /// Every change up to this revision is known; 0 for nothing.
  std::uint64_t CompleteTo() const { return complete_to_; }

 private:
  void ForgetOldRemovals();
  void RememberContent(const catalog_item& replaced);
  void MakeSmall(catalog_item& item, std::uint64_t after) const;
  bool MakeWhole(catalog_item& item) const;

  std::map<std::string, catalog_item, std::less<>> items_;
  /// The last large contents that were replaced, oldest first.
  std::deque<catalog_item> replaced_;
  mutable catalog_item last_delta_;  ///< Made for one node, mostly fits others.
  std::uint64_t complete_to_ = 0;
  /// Removals at or below this revision are no longer known.
  std::uint64_t removals_forgotten_to_ = 0;
};

}  // namespace wagtailmount
