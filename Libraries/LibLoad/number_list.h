#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace wagtailmount {

/// Parses as many unsigned decimal integers as `numbers` has places, separated
/// by one space each; false if `text` is anything else.
bool ParseNumberList(std::string_view text, std::span<std::uint64_t> numbers);

}  // namespace wagtailmount
