#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailmount {

/// Returns `text` compressed with zlib, so that a large number of new routes
/// can be sent over a slow link.
std::string CompressText(std::string_view text);

/// Returns the original text, or nothing if `compressed` is malformed or the
/// text is longer than `max_bytes`.
std::optional<std::string> DecompressText(std::string_view compressed,
                                          std::size_t max_bytes);

}  // namespace wagtailmount
