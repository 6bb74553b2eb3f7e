#include "LibRouting/evacuation_table.h"

namespace wagtailmount {

std::vector<evacuation_table::change> evacuation_table::Update(
    time_point now, const std::set<std::string>& failure_domains) {
  std::vector<change> changes;
  for (const std::string& name : failure_domains) {
    if (since_.emplace(name, now).second) {
      ended_at_.erase(name);
      changes.push_back({name, true});
    }
  }
  for (auto held = since_.begin(); held != since_.end();) {
    if (failure_domains.contains(held->first)) {
      ++held;
      continue;
    }
    ended_at_[held->first] = now;
    changes.push_back({held->first, false});
    held = since_.erase(held);
  }
  return changes;
}

time_point evacuation_table::Since(std::string_view failure_domain) const {
  const auto found = since_.find(failure_domain);
  return found == since_.end() ? time_point{} : found->second;
}

time_point evacuation_table::EndedAt(std::string_view failure_domain) const {
  const auto found = ended_at_.find(failure_domain);
  return found == ended_at_.end() ? time_point{} : found->second;
}

std::vector<std::string> evacuation_table::Names() const {
  std::vector<std::string> names;
  names.reserve(since_.size());
  for (const auto& [name, since] : since_) {
    names.push_back(name);
  }
  return names;
}

}  // namespace wagtailmount
