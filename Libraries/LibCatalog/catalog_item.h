#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace wagtailmount {

/// One entry that the platform publishes, as it was written or as it was
/// removed. Its content is opaque here; a catalog_format reads it.
struct catalog_item {
  std::string key;
  std::uint64_t revision = 0;  ///< Of its last change, at the platform.
  std::uint64_t created = 0;   ///< Revision at which it was created.
  bool is_removed = false;
  std::shared_ptr<const std::string> content;  ///< Null when removed.
  /// Not 0: the content is a delta to that of this revision, or if that is the
  /// item's own revision, to nothing. Only on the way between nodes.
  std::uint64_t base_revision = 0;
};

}  // namespace wagtailmount
