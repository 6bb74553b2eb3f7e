#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "LibConfig/configuration.h"

namespace wagtailmount {

/// Remembers the greatest version that each VM was seen to hold, on behalf of
/// VMs that restart without stored state. When the table is full, the VM with
/// the oldest update is evicted.
class last_held_table {
 public:
  explicit last_held_table(std::size_t maximum_vms)
      : maximum_vms_(maximum_vms) {}

  /// Records that `vm` reports to hold `held`. A lower version than before
  /// means that the VM restarted; the greatest one stays recorded.
  void Note(std::string_view vm, const version_id& held);

  /// The greatest version seen at `vm`; revision 0 when there is none.
  version_id GreatestHeld(std::string_view vm) const;

 private:
  struct entry {
    version_id greatest;
    std::uint64_t last_update = 0;
  };

  std::size_t maximum_vms_;
  std::uint64_t updates_ = 0;
  std::map<std::string, entry, std::less<>> entries_;
};

}  // namespace wagtailmount
