#include "LibSpread/manifest_delta.h"

#include <algorithm>
#include <utility>

#include "LibConfig/config_limits.h"

namespace wagtailmount {

namespace {

constexpr auto kByName = [](const auto& left, const auto& right) {
  return left.name < right.name;
};

template <typename T, typename less>
bool IsStrictlyAscending(const std::vector<T>& items, less order) {
  return std::adjacent_find(items.begin(), items.end(),
                            [&](const T& left, const T& right) {
                              return !order(left, right);
                            }) == items.end();
}

result<void> CheckBounds(std::span<const manifest_entry> manifest) {
  std::uint64_t total_bytes = 0;
  for (const auto& entry : manifest) {
    total_bytes += entry.size_bytes;
  }
  if (manifest.empty() || manifest.size() > kMostFiles ||
      total_bytes > kLargestFolderBytes) {
    return Fail(error_kind::kOverLimit,
                "the manifest is empty or over the limits of a folder: " +
                    std::to_string(manifest.size()) + " files, " +
                    std::to_string(total_bytes) + " bytes");
  }
  return {};
}

/// Fills in the contents of `missing` that `held` has under another file name.
void FindByDigest(const configuration& held, content_pool& missing) {
  for (const auto& file : held.Files()) {
    const auto found = missing.find(file.content_digest);
    if (found != missing.end()) {
      found->second = file.content;
    }
  }
}

}  // namespace

std::vector<std::string> ChangedNames(std::span<const manifest_entry> before,
                                      std::span<const manifest_entry> after) {
  std::vector<std::string> names;
  auto old = before.begin();
  for (const auto& entry : after) {
    while (old != before.end() && old->name < entry.name) {
      names.push_back((old++)->name);
    }
    const bool is_known = old != before.end() && old->name == entry.name;
    if (!is_known || old->content_digest != entry.content_digest) {
      names.push_back(entry.name);
    }
    old += is_known ? 1 : 0;
  }
  for (; old != before.end(); ++old) {
    names.push_back(old->name);
  }
  return names;
}

result<std::vector<manifest_entry>> ApplyManifest(
    std::span<const manifest_entry> held, const manifest_message& received) {
  if (!IsStrictlyAscending(received.changed, kByName) ||
      !IsStrictlyAscending(received.removed, std::less<>())) {
    return Fail(error_kind::kInvalidInput,
                "the names in the manifest are not in ascending order");
  }
  std::vector<manifest_entry> manifest;
  manifest.reserve(held.size() + received.changed.size());
  auto changed = received.changed.begin();
  for (const auto& entry : held) {
    while (changed != received.changed.end() && changed->name < entry.name) {
      manifest.push_back(*changed++);
    }
    if (changed != received.changed.end() && changed->name == entry.name) {
      manifest.push_back(*changed++);
      continue;
    }
    if (!std::binary_search(received.removed.begin(), received.removed.end(),
                            entry.name)) {
      manifest.push_back(entry);
    }
  }
  manifest.insert(manifest.end(), changed, received.changed.end());
  if (const auto bounds = CheckBounds(manifest); !bounds) {
    return tl::unexpected(bounds.error());
  }
  return manifest;
}

version_plan PlanVersion(std::span<const manifest_entry> manifest,
                         const configuration* held, const content_pool& pool) {
  version_plan plan;
  plan.files.reserve(manifest.size());
  const auto known =
      held == nullptr ? std::span<const config_file>() : held->Files();
  content_pool missing;
  auto same_name = known.begin();
  for (const auto& entry : manifest) {
    while (same_name != known.end() && same_name->name < entry.name) {
      ++same_name;
    }
    config_file file{entry.name, nullptr, entry.content_digest};
    if (same_name != known.end() && same_name->name == entry.name &&
        same_name->content_digest == entry.content_digest) {
      file.content = same_name->content;
    } else if (const auto found = pool.find(entry.content_digest);
               found != pool.end()) {
      file.content = found->second;
    } else {
      missing.emplace(entry.content_digest, nullptr);
    }
    plan.files.push_back(std::move(file));
  }
  if (missing.empty()) {
    return plan;
  }
  if (held != nullptr) {
    FindByDigest(*held, missing);
  }
  for (std::size_t i = 0; i < manifest.size(); ++i) {
    config_file& file = plan.files[i];
    const auto found = file.content == nullptr
                           ? missing.find(file.content_digest)
                           : missing.end();
    if (found == missing.end()) {
      continue;
    }
    file.content = found->second;
    if (file.content == nullptr) {
      plan.missing.push_back({file.content_digest, manifest[i].size_bytes});
      // List each digest once: other files with this content share the body.
      missing.erase(found);
    }
  }
  return plan;
}

}  // namespace wagtailmount
