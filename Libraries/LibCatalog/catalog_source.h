#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/error.h"
#include "LibCatalog/catalog_item.h"

namespace wagtailmount {

/// One page of a listing. The pages are not a consistent snapshot: the listing
/// as a whole is complete up to the lowest revision of its pages.
struct catalog_page {
  std::uint64_t revision = 0;
  std::vector<catalog_item> items;
  bool has_more = false;
  std::uint64_t era = 0;  ///< See catalog_position.
};

/// The changes after the requested revision, up to `revision`.
struct catalog_changes {
  std::uint64_t revision = 0;
  std::vector<catalog_item> items;
  std::uint64_t era = 0;  ///< If it isn't the era of the requested revision,
                          ///< changes may be missing.
  /// How long the answer took to arrive, from its first bytes on.
  std::chrono::milliseconds transfer{0};
};

/// Read-only access to the entries that the platform publishes. Each call
/// counts towards the platform's limit of reads. `done` is called on the thread
/// that made the call, and never before the call has returned. Errors:
/// - kUnavailable: refused, reset or not reachable; nothing was read;
/// - kOverLimit: too many reads per second;
/// - kTimeout: no complete answer in time;
/// - kConflict: the changes after that revision are no longer known, or are too
///   many for one answer;
/// - kInvalidInput: the answer violates the protocol.
class catalog_source {
 public:
  template <typename T>
  using answer = std::function<void(result<T>)>;

  virtual ~catalog_source() = default;

  /// Reads the first page of the items whose keys sort after `after_key`. A
  /// listing that may be stale costs the platform a fraction of a current one.
  virtual void List(std::string_view after_key, bool may_be_stale,
                    answer<catalog_page> done) = 0;

  /// Waits for a change after `revision`, for at most `wait`.
  virtual void Watch(std::uint64_t revision, std::chrono::milliseconds wait,
                     answer<catalog_changes> done) = 0;
};

}  // namespace wagtailmount
