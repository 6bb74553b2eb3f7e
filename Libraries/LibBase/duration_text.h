#pragma once

#include <chrono>
#include <string_view>

#include "LibBase/error.h"

namespace wagtailmount {

/// Reads a time written as a number and its unit, "ms" or "s": "1500ms",
/// "2.5s". Anything else is kInvalidInput, and so is more than a day.
result<std::chrono::milliseconds> ParseDuration(std::string_view text);

}  // namespace wagtailmount
