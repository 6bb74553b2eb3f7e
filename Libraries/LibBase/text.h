#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace wagtailmount {

/// The count of leading bytes of `text` that are whole, valid UTF-8; the size
/// of the text when all of it is.
std::size_t ValidUtf8PrefixOf(std::string_view text);

/// The text in printable ASCII for reports: other bytes as "\xNN", cut to
/// `most_bytes` with "..." at its end.
std::string PrintableTextOf(std::string_view text, std::size_t most_bytes);

/// ASCII lower case; other bytes stay as they are.
char LowerCaseOf(char character);

/// Whether two texts are the same but for ASCII case.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

}  // namespace wagtailmount
