#include "LibConfig/folder_comparison.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "LibConfig/config_limits.h"
#include "LibConfig/file_parser.h"

namespace wagtailmount::detail {

namespace {

bool IsSameContent(const config_file& published, const config_file& known) {
  if (published.content_digest != known.content_digest ||
      published.content == nullptr) {
    return false;
  }
  return published.content == known.content ||
         *published.content == *known.content;
}

}  // namespace

std::vector<const config_file*> InNameOrder(
    std::span<const config_file> files) {
  std::vector<const config_file*> ordered;
  ordered.reserve(files.size());
  for (const auto& file : files) {
    ordered.push_back(&file);
  }
  const auto order = [](const config_file* left, const config_file* right) {
    return std::tie(left->name, left->content_digest) <
           std::tie(right->name, right->content_digest);
  };
  if (!std::is_sorted(ordered.begin(), ordered.end(), order)) {
    std::sort(ordered.begin(), ordered.end(), order);
  }
  return ordered;
}

std::vector<std::size_t> FindUnchangedFiles(
    std::span<const config_file* const> ordered,
    std::span<const config_file> known) {
  std::vector<std::size_t> positions;
  positions.reserve(ordered.size());
  std::size_t next = 0;
  for (const config_file* file : ordered) {
    while (next < known.size() && known[next].name < file->name) {
      ++next;
    }
    const bool is_known = next < known.size() &&
                          known[next].name == file->name &&
                          IsSameContent(*file, known[next]);
    positions.push_back(is_known ? next : kNewOrChanged);
    next += is_known ? 1 : 0;
  }
  return positions;
}

std::vector<manifest_entry> ManifestOf(
    std::span<const config_file* const> ordered,
    std::span<const std::size_t> positions,
    std::span<const manifest_entry> known) {
  std::vector<manifest_entry> manifest;
  manifest.reserve(ordered.size());
  for (std::size_t i = 0; i < ordered.size(); ++i) {
    if (positions[i] != kNewOrChanged) {
      manifest.push_back(known[positions[i]]);
      continue;
    }
    const config_file& file = *ordered[i];
    manifest.push_back({file.name, file.content_digest,
                        file.content == nullptr ? 0 : file.content->size()});
  }
  return manifest;
}

void CheckFolder(std::span<const manifest_entry> manifest,
                 reason_list& reasons) {
  if (manifest.empty()) {
    reasons.Add("", "", "the folder holds no file");
  }
  if (manifest.size() > kMostFiles) {
    reasons.Add("", "",
                "the folder holds " + std::to_string(manifest.size()) +
                    " files; the most are " + std::to_string(kMostFiles));
  }
  std::uint64_t total_bytes = 0;
  for (std::size_t i = 0; i < manifest.size(); ++i) {
    total_bytes += manifest[i].size_bytes;
    if (i > 0 && manifest[i].name == manifest[i - 1].name) {
      reasons.Add(manifest[i].name, "", "the folder holds this name twice");
    }
  }
  if (total_bytes > kLargestFolderBytes) {
    reasons.Add("", "",
                "the folder holds " + std::to_string(total_bytes) +
                    " bytes; the most are " +
                    std::to_string(kLargestFolderBytes));
  }
}

parsed_folder ParseFolder(std::span<const config_file* const> ordered,
                          std::span<const std::size_t> positions,
                          std::span<const parsed_file_pointer> known) {
  parsed_folder folder;
  folder.files.reserve(ordered.size());
  std::size_t next = 0;
  for (std::size_t i = 0; i < ordered.size(); ++i) {
    if (positions[i] == kNewOrChanged) {
      folder.files.push_back(ParseFile(*ordered[i]));
      folder.changes.added.push_back(folder.files.back());
      continue;
    }
    for (; next < positions[i]; ++next) {
      folder.changes.dropped.push_back(known[next]);
    }
    folder.files.push_back(known[next]);
    ++next;
  }
  for (; next < known.size(); ++next) {
    folder.changes.dropped.push_back(known[next]);
  }
  return folder;
}

}  // namespace wagtailmount::detail
