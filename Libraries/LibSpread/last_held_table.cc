#include "LibSpread/last_held_table.h"

#include <algorithm>

namespace wagtailmount {

void last_held_table::Note(std::string_view vm, const version_id& held) {
  if (held.revision == 0) {
    return;
  }
  auto found = entries_.find(vm);
  if (found == entries_.end()) {
    if (entries_.size() >= maximum_vms_) {
      entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                      [](const auto& left, const auto& right) {
                                        return left.second.last_update <
                                               right.second.last_update;
                                      }));
    }
    found = entries_.emplace(std::string(vm), entry{}).first;
  }
  found->second.greatest = std::max(found->second.greatest, held);
  found->second.last_update = ++updates_;
}

version_id last_held_table::GreatestHeld(std::string_view vm) const {
  const auto found = entries_.find(vm);
  return found == entries_.end() ? version_id{} : found->second.greatest;
}

}  // namespace wagtailmount
