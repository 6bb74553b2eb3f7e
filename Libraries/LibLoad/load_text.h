#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "LibLoad/admission.h"

namespace wagtailmount {

/// An owner's load as four whole numbers: microseconds of wait, microseconds of
/// service, slots, microseconds for which it had the request.
std::string LoadText(const owner_load& load);

/// Reads what LoadText() writes; nothing when malformed.
std::optional<owner_load> ParseLoad(std::string_view text);

}  // namespace wagtailmount
