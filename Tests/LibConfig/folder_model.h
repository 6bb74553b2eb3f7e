#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Tests/LibConfig/folder_builder.h"

namespace wagtailmount::testing {

/// The kinds of entry in a generated file; kRemoval is written as null.
enum class model_kind { kService, kRetryPolicy, kHeaderSet, kRoute, kRemoval };

/// One entry of a generated file.
struct model_entry {
  model_kind kind = model_kind::kService;
  int number = 1;  ///< Slots, attempts, header value or match index.
  std::string service;
  std::string retry;    ///< Empty for none.
  std::string headers;  ///< Empty for none.
  std::optional<std::vector<std::string>> may_override;
};

/// Identifies an entry by its section and name.
struct model_key {
  std::string section;
  std::string name;

  auto operator<=>(const model_key&) const = default;
};

/// A generated file; each entry occurs at most once.
struct model_file {
  std::string team;
  std::map<model_key, model_entry> entries;
};

using model_folder = std::map<std::string, model_file>;

/// Returns the files as JSON text.
folder Render(const model_folder& files);

/// Returns the result that docs/CONFIGURATION.md specifies for the folder: one
/// line for each service and route in force, or nullopt if it must be refused.
std::optional<std::string> ExpectedSummary(const model_folder& files);

/// Returns the same lines as ExpectedSummary(), from an accepted configuration.
std::string Summarize(const configuration& accepted);

}  // namespace wagtailmount::testing
