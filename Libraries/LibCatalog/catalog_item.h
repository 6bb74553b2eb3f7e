#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace wagtailmount {

/// One entry that the platform publishes, or the record of its removal. Its
/// content is opaque to the catalog; a catalog_format decodes it.
struct catalog_item {
  std::string key;
  std::uint64_t revision = 0;  ///< The platform's revision of the last change.
  std::uint64_t created = 0;   ///< The revision at which it was created.
  bool is_removed = false;
  std::shared_ptr<const std::string> content;  ///< Null if removed.
  /// If not 0, the content is a delta against the key's content at this
  /// revision; if it equals `revision`, a delta against an empty base. Always 0
  /// in a stored item: deltas are only sent between nodes.
  std::uint64_t base_revision = 0;
};

}  // namespace wagtailmount
