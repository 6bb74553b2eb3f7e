#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailmount {

/// `text` compressed (zlib), so that many new routes fit a slow link.
std::string PackText(std::string_view text);

/// Nothing when `packed` is malformed, or holds more than `most_bytes`.
std::optional<std::string> UnpackText(std::string_view packed,
                                      std::size_t most_bytes);

}  // namespace wagtailmount
