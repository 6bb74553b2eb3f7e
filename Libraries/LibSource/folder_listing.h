#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/error.h"
#include "LibConfig/configuration.h"
#include "LibSource/platform_client.h"

namespace wagtailmount {

/// Limits on the folder that a node accepts, so that a faulty platform can't
/// exhaust its memory.
struct folder_limits {
  std::size_t files = 20'000;
  std::uint64_t file_bytes = std::uint64_t{1024} * 1024;
  std::uint64_t total_bytes = std::uint64_t{24} * 1024 * 1024;
};

/// True if `name` is a valid file name on the platform: not empty, and only
/// ASCII letters, digits, '.', '_' and '-'.
bool IsFileName(std::string_view name);

/// Assembles the folder's listing from its pages, all of the same revision.
class folder_listing {
 public:
  explicit folder_listing(const folder_limits& limits) : limits_(limits) {}

  /// Adds the next page. Errors: kConflict if its revision differs from that of
  /// the earlier pages, kInvalidInput if it violates the protocol or a limit.
  result<void> Add(listing_page page);

  bool IsComplete() const { return is_complete_; }
  std::uint64_t Revision() const { return revision_.value_or(0); }
  /// The `after` argument for requesting the next page; empty for the first.
  const std::string& Next() const { return next_; }
  const std::vector<manifest_entry>& Entries() const { return entries_; }

 private:
  result<void> CheckEntry(const manifest_entry& entry) const;

  folder_limits limits_;
  std::optional<std::uint64_t> revision_;
  std::vector<manifest_entry> entries_;
  std::uint64_t total_bytes_ = 0;
  std::string next_;
  bool is_complete_ = false;
};

}  // namespace wagtailmount
