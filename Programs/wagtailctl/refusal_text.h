#pragma once

#include <iosfwd>

#include "LibConfig/acceptance.h"

namespace wagtailmount {

/// Prints every reason on a line: file, JSON path, what is wrong.
void PrintRefusal(const refusal& refused, std::ostream& out);

}  // namespace wagtailmount
