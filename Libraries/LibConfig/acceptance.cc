#include "LibConfig/acceptance.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "LibConfig/acceptance_record.h"
#include "LibConfig/folder_comparison.h"
#include "LibConfig/reason_list.h"

namespace wagtailmount {

namespace {

using detail::acceptance_record;
using detail::entry_kind;
using detail::parsed_file_pointer;

void AppendNumber(std::string& text, std::uint64_t number) {
  for (int shift = 56; shift >= 0; shift -= 8) {
    text.push_back(static_cast<char>(number >> static_cast<unsigned>(shift)));
  }
}

/// An empty configuration, used as the previous version of the first one.
const configuration& NoConfiguration() {
  static const configuration nothing = [] {
    configuration::contents parts;
    parts.record = std::make_shared<const acceptance_record>();
    return configuration(std::move(parts));
  }();
  return nothing;
}

/// Adds the faults of new and changed files to `reasons`. Returns whether all
/// of these files are readable; otherwise their entries can't be merged.
bool AddFileFaults(const detail::file_changes& changes,
                   detail::reason_list& reasons) {
  bool are_readable = true;
  for (const auto& file : changes.added) {
    are_readable = are_readable && file->is_readable;
    for (const auto& fault : file->faults) {
      reasons.Add(file->published.name, fault.path, fault.reason);
    }
  }
  return are_readable;
}

/// The entries of one kind that are in force; those before if none changed.
template <typename T>
std::vector<std::shared_ptr<const T>> EntriesOf(
    entry_kind kind, const detail::entry_tables& tables,
    const configuration& before,
    std::span<const std::shared_ptr<const T>> known) {
  const auto& entries = tables.Of(kind);
  if (entries == before.Record()->tables.Of(kind)) {
    return {known.begin(), known.end()};
  }
  std::vector<std::shared_ptr<const T>> in_force;
  in_force.reserve(entries.size());
  for (const auto& entry : entries) {
    if (!entry->IsRemoved()) {
      in_force.push_back(std::get<std::shared_ptr<const T>>(entry->value));
    }
  }
  return in_force;
}

/// The files of the new version. Unchanged files share their content with the
/// previous version, so that equal contents are in memory only once.
std::vector<config_file> FilesOf(std::span<const config_file* const> ordered,
                                 std::span<const std::size_t> positions,
                                 std::span<const config_file> known) {
  std::vector<config_file> files;
  files.reserve(ordered.size());
  for (std::size_t i = 0; i < ordered.size(); ++i) {
    files.push_back(positions[i] == detail::kNewOrChanged
                        ? *ordered[i]
                        : known[positions[i]]);
  }
  return files;
}

}  // namespace

digest DigestOfManifest(std::span<const manifest_entry> manifest) {
  std::vector<const manifest_entry*> ordered;
  ordered.reserve(manifest.size());
  for (const auto& entry : manifest) {
    ordered.push_back(&entry);
  }
  const auto order = [](const auto* left, const auto* right) {
    return std::tie(left->name, left->content_digest) <
           std::tie(right->name, right->content_digest);
  };
  if (!std::is_sorted(ordered.begin(), ordered.end(), order)) {
    std::sort(ordered.begin(), ordered.end(), order);
  }
  std::string text;
  for (const auto* entry : ordered) {
    // The length prefix keeps two different lists of names from giving the same
    // byte sequence.
    AppendNumber(text, entry->name.size());
    text += entry->name;
    text.append(
        reinterpret_cast<const char*>(entry->content_digest.bytes.data()),
        digest::kSizeBytes);
  }
  return DigestOf(text);
}

tl::expected<std::shared_ptr<const configuration>, refusal> AcceptFolder(
    std::uint64_t revision, std::span<const config_file> files,
    const configuration* previous) {
  const bool can_reuse = previous != nullptr && previous->Record() != nullptr;
  const configuration& before = can_reuse ? *previous : NoConfiguration();

  const auto ordered = detail::InNameOrder(files);
  const auto positions = detail::FindUnchangedFiles(ordered, before.Files());
  configuration::contents parts;
  parts.manifest = detail::ManifestOf(ordered, positions, before.Manifest());
  parts.version = {revision, DigestOfManifest(parts.manifest)};
  detail::reason_list reasons;
  detail::CheckFolder(parts.manifest, reasons);
  if (!reasons.IsEmpty()) {
    return tl::unexpected(std::move(reasons).ToRefusal(parts.version));
  }

  auto folder = detail::ParseFolder(ordered, positions, before.Record()->files);
  if (!AddFileFaults(folder.changes, reasons)) {
    return tl::unexpected(std::move(reasons).ToRefusal(parts.version));
  }

  auto merged = detail::MergeEntries(before.Record()->tables, folder.changes);
  auto built = detail::BuildRoutes(before.Record()->routes, merged);
  parts.routes = detail::OrderRoutes(before.Routes(), built);
  reasons.Add(merged.reasons);
  reasons.Add(built.reasons);
  reasons.Add(detail::FindConflicts(parts.routes, built));
  if (!reasons.IsEmpty()) {
    return tl::unexpected(std::move(reasons).ToRefusal(parts.version));
  }

  parts.files = FilesOf(ordered, positions, before.Files());
  parts.services =
      EntriesOf(entry_kind::kService, merged.tables, before, before.Services());
  parts.evacuations = EntriesOf(entry_kind::kEvacuation, merged.tables, before,
                                before.Evacuations());
  parts.record = std::make_shared<const acceptance_record>(
      acceptance_record{std::move(folder.files), std::move(merged.tables),
                        std::move(built.table)});
  return std::make_shared<const configuration>(std::move(parts));
}

}  // namespace wagtailmount
