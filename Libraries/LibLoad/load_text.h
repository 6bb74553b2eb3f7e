#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "LibLoad/admission.h"

namespace wagtailmount {

/// Returns an owner's reported load as four integers separated by a space each:
/// wait and service in microseconds, slots, and the time for which it held the
/// request in microseconds.
std::string LoadText(const owner_load& load);

/// Parses what LoadText() returns; nullopt if malformed.
std::optional<owner_load> ParseLoad(std::string_view text);

}  // namespace wagtailmount
