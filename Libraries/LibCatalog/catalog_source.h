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

/// One page of a listing. Pages are not a snapshot: the first one's revision is
/// the one up to which the whole listing is complete.
struct catalog_page {
  std::uint64_t revision = 0;
  std::vector<catalog_item> items;
  bool has_more = false;
};

/// The changes after a revision, up to `revision`.
struct catalog_changes {
  std::uint64_t revision = 0;
  std::vector<catalog_item> items;
};

/// The platform's published entries, which can only be read. Each call counts
/// at the platform. Answers come on the thread that made the call, never from
/// within it. Errors:
/// - kUnavailable: refused, reset or not reachable; nothing was read;
/// - kOverLimit: too many reads a second;
/// - kTimeout: no whole answer in time;
/// - kConflict: the changes after that revision are no longer known;
/// - kInvalidInput: the answer breaks the protocol.
class catalog_source {
 public:
  template <typename T>
  using answer = std::function<void(result<T>)>;

  virtual ~catalog_source() = default;

  /// The items whose keys come after `after_key`. A listing that may be stale
  /// costs a fraction of one that may not.
  virtual void List(std::string_view after_key, bool may_be_stale,
                    answer<catalog_page> done) = 0;

  /// Answers once there is a change after `revision`, or after `wait`.
  virtual void Watch(std::uint64_t revision, std::chrono::milliseconds wait,
                     answer<catalog_changes> done) = 0;
};

}  // namespace wagtailmount
