#include "LibSpread/manifest_history.h"

#include <algorithm>
#include <utility>

namespace wagtailmount {

void manifest_history::Record(const version_id& before,
                              std::vector<std::string> names) {
  name_count_ += names.size() + 1;
  steps_.push_back({before, std::move(names)});
  while (name_count_ > maximum_names_) {
    name_count_ -= steps_.front().names.size() + 1;
    steps_.pop_front();
  }
}

std::optional<manifest_message> manifest_history::DeltaSince(
    const version_id& base, std::span<const std::string> additional_names,
    const configuration& current) const {
  auto first =
      std::upper_bound(steps_.begin(), steps_.end(), base,
                       [](const version_id& wanted, const step& candidate) {
                         return wanted < candidate.before;
                       });
  if (base.revision == 0 || base >= current.Version() ||
      first == steps_.begin()) {
    return std::nullopt;
  }
  --first;
  std::vector<std::string> names(additional_names.begin(),
                                 additional_names.end());
  for (auto each = first; each != steps_.end(); ++each) {
    names.insert(names.end(), each->names.begin(), each->names.end());
  }
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  const auto manifest = current.Manifest();
  if (names.size() >= manifest.size()) {
    return std::nullopt;
  }
  manifest_message delta{current.Version(), base, {}, {}};
  for (auto& name : names) {
    const auto found = std::lower_bound(
        manifest.begin(), manifest.end(), name,
        [](const manifest_entry& entry, const std::string& wanted) {
          return entry.name < wanted;
        });
    if (found != manifest.end() && found->name == name) {
      delta.changed.push_back(*found);
    } else {
      delta.removed.push_back(std::move(name));
    }
  }
  return delta;
}

std::vector<std::string> manifest_history::RecentNames(
    std::size_t max_names) const {
  std::vector<std::string> names;
  for (auto step = steps_.rbegin();
       step != steps_.rend() && names.size() + step->names.size() <= max_names;
       ++step) {
    names.insert(names.end(), step->names.begin(), step->names.end());
  }
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

manifest_message WholeManifestOf(const configuration& version) {
  const auto manifest = version.Manifest();
  return {version.Version(), {}, {manifest.begin(), manifest.end()}, {}};
}

}  // namespace wagtailmount
