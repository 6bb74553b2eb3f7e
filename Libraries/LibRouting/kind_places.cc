#include "LibRouting/kind_places.h"

#include <algorithm>

namespace wagtailmount {

std::size_t kind_places::Take(time_point now, request_priority rank,
                              request_kind kind) {
  auto* found = owners_.end();
  if (kind != kUnknownKind) {
    found =
        std::find_if(owners_.begin(), owners_.end(),
                     [kind](const owner& each) { return each.kind == kind; });
    if (found == owners_.end()) {
      found = std::find_if(owners_.begin(), owners_.end(),
                           [now](const owner& each) {
                             return each.kind == kUnknownKind ||
                                    now - each.used_at > kUnusedTime;
                           });
    }
  }
  if (found == owners_.end()) {
    return std::min<std::size_t>(static_cast<std::size_t>(rank),
                                 kRankPlaces - 1);
  }
  *found = {kind, now};
  return kRankPlaces + static_cast<std::size_t>(found - owners_.begin());
}

}  // namespace wagtailmount
