#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "LibLoad/admission_controller.h"

namespace wagtailmount {

/// Returns an owner's reported load as four integers separated by a space each:
/// wait and service in microseconds, slots, and the time for which it held the
/// request in microseconds.
std::string FormatLoad(const owner_load& load);

/// Parses what FormatLoad() returns; nullopt if malformed.
std::optional<owner_load> ParseLoad(std::string_view text);

}  // namespace wagtailmount
