#pragma once

#include <string>
#include <string_view>

#include "LibBase/json_object_reader.h"
#include "LibConfig/declaration.h"

namespace wagtailmount::detail {

/// Each function parses the members of one entry from `reader` and adds errors
/// to the reader's faults. Members that can't be parsed have default values in
/// the result.

entry_value ParseService(std::string_view name, std::string_view team,
                         json_object_reader& reader);

entry_value ParseResource(std::string_view name, std::string_view team,
                          json_object_reader& reader);

entry_value ParseEvacuation(std::string_view name, std::string_view team,
                            json_object_reader& reader);

entry_value ParseRoute(std::string_view name, std::string_view team,
                       json_object_reader& reader);

}  // namespace wagtailmount::detail
