#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "LibConfig/configuration.h"
#include "LibConfig/entry_table.h"
#include "LibConfig/reason_list.h"

namespace wagtailmount::detail {

/// Pointers to the files, in name order.
std::vector<const config_file*> InNameOrder(std::span<const config_file> files);

/// Stands in a list of positions for a file that is new or changed.
inline constexpr std::size_t kNewOrChanged = static_cast<std::size_t>(-1);

/// For each file in `ordered`, the position in `known`, the files of the
/// previous version, of the file with the same name and content, or
/// kNewOrChanged. Contents in different objects are compared byte by byte,
/// since the published digest has not been verified yet.
std::vector<std::size_t> FindUnchangedFiles(
    std::span<const config_file* const> ordered,
    std::span<const config_file> known);

/// The manifest of `ordered`. `positions` is the result of
/// FindUnchangedFiles(), and `known` is the manifest of the previous version.
std::vector<manifest_entry> ManifestOf(
    std::span<const config_file* const> ordered,
    std::span<const std::size_t> positions,
    std::span<const manifest_entry> known);

/// Checks the number of files, their total size and duplicate names. Adds each
/// violation to `reasons`.
void CheckFolder(std::span<const manifest_entry> manifest,
                 reason_list& reasons);

/// The parsed files of a version, and the changes from the previous version.
struct parsed_folder {
  std::vector<parsed_file_pointer> files;  ///< In name order.
  file_changes changes;
};

/// Parses the new and changed files and takes the others from `known`, the
/// parsed files of the previous version.
parsed_folder ParseFolder(std::span<const config_file* const> ordered,
                          std::span<const std::size_t> positions,
                          std::span<const parsed_file_pointer> known);

}  // namespace wagtailmount::detail
