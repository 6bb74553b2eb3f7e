#pragma once

#include <cstdint>
#include <string_view>

#include "LibBase/error.h"
#include "LibSource/platform_client.h"

namespace wagtailmount {

/// Parsers for the platform's JSON answers. A protocol violation yields
/// kInvalidInput with the JSON path of the first fault. Unknown members are
/// ignored, so that the platform can add members.

result<listing_page> ParseListingPage(std::string_view body);
result<vm_page> ParseVmPage(std::string_view body);
result<std::uint64_t> ParseWatchAnswer(std::string_view body);

}  // namespace wagtailmount
