#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailmount {

/// Returns `text` compressed with zlib, so that a large number of new routes
/// can be sent over a slow link.
std::string PackText(std::string_view text);

/// Returns the original text, or nothing if `packed` is malformed or the text
/// is longer than `most_bytes`.
std::optional<std::string> UnpackText(std::string_view packed,
                                      std::size_t most_bytes);

}  // namespace wagtailmount
