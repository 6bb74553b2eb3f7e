#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "LibConfig/acceptance.h"

namespace wagtailmount {

/// Remembers the refused versions, at most `maximum` of them. When the log is
/// full, the lowest version is evicted; it and all lower ones count as known
/// from then on, so that peers do not forward the same report forever.
class refusal_log {
 public:
  explicit refusal_log(std::size_t maximum) : maximum_(maximum) {}

  /// Adds a refusal; false when it was known already. This node's own verdict
  /// replaces one that a peer reported.
  bool Add(const refusal& refused, bool is_judged_locally);

  /// Whether this node itself refused the version. A refusal that only peers
  /// reported never keeps this node from checking the version itself.
  bool IsRefusedLocally(const version_id& version) const;

  /// Refusals of versions above `held`; lower ones are no longer relevant to
  /// operators.
  std::vector<refusal> RefusalsAbove(const version_id& held) const;

 private:
  struct entry {
    refusal refused;
    bool is_judged_locally = false;
  };

  std::size_t maximum_;
  std::map<version_id, entry> entries_;
  version_id greatest_dropped_;
};

}  // namespace wagtailmount
