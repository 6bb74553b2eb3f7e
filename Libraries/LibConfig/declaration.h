#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "LibBase/json_document.h"
#include "LibConfig/configuration.h"

namespace wagtailmount::detail {

/// The kind of an entry, one for each section of a file. Names are unique
/// within a kind only.
enum class entry_kind : std::uint8_t {
  kService,
  kResource,
  kRoute,
  kEvacuation
};

inline constexpr std::size_t kEntryKinds = 4;

/// The key of a section in a file: "services", "resources", "routes",
/// "evacuations".
std::string_view SectionOf(entry_kind kind);

/// A route as a file declares it. Its references to service and resources are
/// still names.
struct unresolved_route {
  route settings;  ///< Without service and resources.
  std::string service;
  std::string retry;    ///< Empty for the built-in policy.
  std::string headers;  ///< Empty for none.

  bool operator==(const unresolved_route&) const = default;
};

/// The value of a declaration: monostate if it removes the entry, a null
/// pointer if it could not be parsed.
using entry_value = std::variant<
    std::monostate, std::shared_ptr<const service>,
    std::shared_ptr<const retry_policy>, std::shared_ptr<const header_set>,
    std::shared_ptr<const unresolved_route>, std::shared_ptr<const evacuation>>;

/// One entry as declared in one file.
struct declaration {
  entry_kind kind = entry_kind::kService;
  std::string name;
  entry_value value;
  std::optional<std::vector<std::string>> may_override;

  /// The JSON path, for example "$.routes.balance".
  std::string Path() const;
};

/// The result of parsing one file, independent of other files. Immutable, and
/// shared by consecutive versions that have the same file with the same
/// content.
struct parsed_file {
  config_file published;
  std::string team;
  std::vector<declaration> declarations;
  std::vector<document_fault> faults;
  bool is_readable = false;  ///< False if the entries can't be determined: not
                             ///< JSON, no team, wrong digest.
};

using parsed_file_pointer = std::shared_ptr<const parsed_file>;

}  // namespace wagtailmount::detail
