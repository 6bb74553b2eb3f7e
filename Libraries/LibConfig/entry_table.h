#pragma once

#include <array>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "LibConfig/acceptance.h"
#include "LibConfig/declaration.h"

namespace wagtailmount::detail {

/// A declaration and the file that contains it.
struct file_declaration {
  parsed_file_pointer file;
  const declaration* declared = nullptr;
};

/// One entry, merged from all files that declare it. The declaration in the
/// last file by name is in force.
struct merged_entry {
  entry_kind kind = entry_kind::kService;
  std::string name;
  /// All declarations, in file name order; never empty.
  std::vector<file_declaration> chain;
  std::string owner;  ///< The team of the first declaration.
  entry_value value;  ///< The value in force; monostate if removed.

  const file_declaration& Last() const { return chain.back(); }
  bool IsRemoved() const {
    return std::holds_alternative<std::monostate>(value);
  }
};

using merged_entry_pointer = std::shared_ptr<const merged_entry>;

/// The merged entries of all files, including removed ones, by kind and in name
/// order.
struct entry_tables {
  std::array<std::vector<merged_entry_pointer>, kEntryKinds> by_kind;

  const std::vector<merged_entry_pointer>& Of(entry_kind kind) const {
    return by_kind[static_cast<std::size_t>(kind)];
  }

  /// The entry with this name; null if there is none or it is removed.
  const merged_entry* Find(entry_kind kind, std::string_view name) const;
};

/// The files that a version adds and drops, compared with the previous version.
/// A changed file is in both lists.
struct file_changes {
  std::vector<parsed_file_pointer> dropped;
  std::vector<parsed_file_pointer> added;
};

/// The result of MergeEntries().
struct merge_outcome {
  entry_tables tables;
  std::vector<entry_value> retired;  ///< Values that are no longer in force.
  std::vector<refusal_reason> reasons;
};

/// Applies `changes` to `before`. Merges only the entries that the changed
/// files declare; all others remain the same objects. A merged entry whose
/// value is unchanged keeps its value object, so that routes referring to it
/// are re-used.
merge_outcome MergeEntries(const entry_tables& before,
                           const file_changes& changes);

}  // namespace wagtailmount::detail
