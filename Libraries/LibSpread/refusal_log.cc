#include "LibSpread/refusal_log.h"

namespace wagtailmount {

bool refusal_log::Add(const refusal& refused, bool is_judged_locally) {
  if (refused.version <= greatest_dropped_) {
    return false;
  }
  const auto [place, is_new] =
      entries_.try_emplace(refused.version, entry{refused, is_judged_locally});
  if (!is_new) {
    if (is_judged_locally) {
      place->second = {refused, true};
    }
    return false;
  }
  if (entries_.size() > maximum_) {
    greatest_dropped_ = entries_.begin()->first;
    entries_.erase(entries_.begin());
  }
  return true;
}

bool refusal_log::IsRefusedLocally(const version_id& version) const {
  const auto found = entries_.find(version);
  return found != entries_.end() && found->second.is_judged_locally;
}

std::vector<refusal> refusal_log::RefusalsAbove(const version_id& held) const {
  std::vector<refusal> above;
  for (auto each = entries_.upper_bound(held); each != entries_.end(); ++each) {
    above.push_back(each->second.refused);
  }
  return above;
}

}  // namespace wagtailmount
