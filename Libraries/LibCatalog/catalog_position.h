#pragma once

#include <compare>
#include <cstdint>

namespace wagtailmount {

/// A point in the history of the platform's entries. The platform may be
/// restored from an earlier copy: its era then rises by one, and the revisions
/// after the copy are given out again with other contents. Positions are
/// therefore ordered by their era first.
struct catalog_position {
  std::uint64_t era = 0;  ///< 0 where the platform states none.
  std::uint64_t revision = 0;

  auto operator<=>(const catalog_position&) const = default;
};

}  // namespace wagtailmount
