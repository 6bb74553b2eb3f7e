#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibCatalog/catalog_item.h"
#include "LibCatalog/catalog_position.h"

namespace wagtailmount {

/// The changes between two revisions of a catalog, as one node sends them to
/// another.
struct catalog_update {
  /// The total size of the items' contents in bytes, as sent.
  std::size_t ContentBytes() const;

  catalog_position Position() const { return {era, complete_to}; }

  /// The update holds every change with a revision above `after` and up to
  /// `complete_to`. If `after` is 0, it lists the whole catalog.
  std::uint64_t after = 0;
  std::uint64_t complete_to = 0;
  std::vector<catalog_item> items;
  std::uint64_t era = 0;  ///< Of all its revisions.
};

/// This node's copy of the entries that the platform publishes. Within one era
/// of the platform, the item with the highest revision wins for each key,
/// whether it came from the platform or from a peer, so no source can restore
/// an older state. A newer era begins with a complete listing, which replaces
/// everything; what comes from an earlier era is ignored.
class catalog {
 public:
  /// Stores `item` and returns true, unless the same or a newer revision of its
  /// key is held already or its key may have been removed since.
  bool StoreItem(const catalog_item& item);

  /// Stores the items of a partial listing: other keys and CompleteTo() do not
  /// change. Returns the keys that changed. Ignores a listing of another era,
  /// unless this catalog is still empty.
  std::vector<std::string> ApplyPartialListing(
      std::span<const catalog_item> items, std::uint64_t era = 0);

  /// Stores a complete listing that began at revision `complete_to`, and
  /// removes the held items that are not in it, unless their revision is above
  /// `complete_to`. Ignores a listing older than Position(). One of a newer era
  /// replaces all items, whatever their revisions. Returns the keys that
  /// changed.
  std::vector<std::string> ApplyListing(std::span<const catalog_item> items,
                                        std::uint64_t complete_to,
                                        std::uint64_t era = 0);

  /// Applies an update and returns the keys that changed. Applies nothing and
  /// returns none if the update starts after CompleteTo(), so that changes in
  /// between would be missing, if it is of another era and not a complete
  /// listing of a newer one, or if a delta in it was made from another base.
  std::vector<std::string> ApplyUpdate(const catalog_update& update);

  /// The changes that a node complete up to `after` lacks; a complete listing
  /// if `after` is 0 or removals after it have been forgotten. Large contents
  /// are sent compressed, as deltas where this node still remembers the content
  /// that the other one holds.
  catalog_update UpdateAfter(std::uint64_t after) const;

  /// Null if the key is not held or was removed.
  const catalog_item* Find(std::string_view key) const;

  /// The items whose keys begin with `prefix`, without the removed ones, in key
  /// order.
  std::vector<const catalog_item*> ItemsUnder(std::string_view prefix) const;

  /// The revision up to which every change is known; 0 if none is.
  std::uint64_t CompleteTo() const { return complete_to_; }

  /// CompleteTo() and the era that it belongs to.
  catalog_position Position() const { return {era_, complete_to_}; }

 private:
  void BeginEra(std::uint64_t era);
  bool ReplaceItem(const catalog_item& item);
  void ForgetOldRemovals();
  void RememberContent(const catalog_item& replaced);
  void EncodeContent(catalog_item& item, std::uint64_t after) const;
  bool DecodeContent(catalog_item& item) const;

  std::map<std::string, catalog_item, std::less<>> items_;
  /// The most recently replaced large contents, oldest first: bases for deltas.
  std::deque<catalog_item> replaced_;
  /// Cache of the last delta: most peers need the same one.
  mutable catalog_item last_delta_;
  std::uint64_t era_ = 0;
  std::uint64_t complete_to_ = 0;
  /// Removals at or below this revision may have been forgotten.
  std::uint64_t removals_forgotten_to_ = 0;
};

}  // namespace wagtailmount
