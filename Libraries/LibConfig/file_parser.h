#pragma once

#include "LibConfig/declaration.h"

namespace wagtailmount::detail {

/// Checks the name, size and digest of a published file and parses its JSON and
/// entries, independent of other files. Always returns a file; errors are
/// listed in its faults.
parsed_file_pointer ParseFile(const config_file& published);

}  // namespace wagtailmount::detail
