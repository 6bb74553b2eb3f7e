#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "LibConfig/configuration.h"

namespace wagtailmount {

enum class difference_kind { kAdded, kRemoved, kChanged };

/// "added", "removed" or "changed".
std::string_view NameOf(difference_kind kind);

/// One field with its old and new value as text; empty where the field is not
/// set.
struct field_difference {
  std::string field;
  std::string before;
  std::string after;
};

/// One service or route that differs between two versions.
struct entry_difference {
  difference_kind kind = difference_kind::kChanged;
  std::string section;  ///< "services" or "routes".
  std::string name;
  std::vector<field_difference> fields;  ///< The changed fields; all of them if
                                         ///< the entry is added or removed.
};

/// Returns the services that differ, then the routes that differ, each in name
/// order. A changed resource appears as a changed field of each route that
/// refers to it; a changed service is not repeated at its routes.
std::vector<entry_difference> CompareConfigurations(const configuration& before,
                                                    const configuration& after);

}  // namespace wagtailmount
