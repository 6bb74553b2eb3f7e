#include "LibBase/text.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace wagtailmount {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

/// The forms of a UTF-8 sequence of two to four bytes, by its first byte.
struct sequence_form {
  std::uint8_t lead_mask;
  std::uint8_t lead_bits;
  std::size_t length;
  std::uint32_t least;  ///< Below it the sequence is longer than needed.
};

constexpr std::array<sequence_form, 3> kSequenceForms{{
    {0xe0, 0xc0, 2, 0x80},
    {0xf0, 0xe0, 3, 0x800},
    {0xf8, 0xf0, 4, 0x10000},
}};

constexpr std::uint32_t kFirstSurrogate = 0xd800;
constexpr std::uint32_t kLastSurrogate = 0xdfff;
constexpr std::uint32_t kLastCodePoint = 0x10ffff;

/// The length of the valid sequence at the start of `text`, or 0.
std::size_t LengthOfSequence(std::string_view text) {
  const auto lead = static_cast<std::uint8_t>(text.front());
  if (lead < 0x80U) {
    return 1;
  }
  const auto* form = std::find_if(
      kSequenceForms.begin(), kSequenceForms.end(), [lead](const auto& each) {
        return (lead & each.lead_mask) == each.lead_bits;
      });
  if (form == kSequenceForms.end() || text.size() < form->length) {
    return 0;
  }
  std::uint32_t code_point = lead & ~std::uint32_t{form->lead_mask};
  for (std::size_t i = 1; i < form->length; ++i) {
    const auto byte = static_cast<std::uint8_t>(text[i]);
    if ((byte & 0xc0U) != 0x80U) {
      return 0;
    }
    code_point = (code_point << 6U) | (byte & 0x3fU);
  }
  const bool is_surrogate =
      code_point >= kFirstSurrogate && code_point <= kLastSurrogate;
  const bool is_valid = code_point >= form->least && !is_surrogate &&
                        code_point <= kLastCodePoint;
  return is_valid ? form->length : 0;
}

}  // namespace

std::size_t ValidUtf8PrefixOf(std::string_view text) {
  std::size_t position = 0;
  while (position < text.size()) {
    const std::size_t length = LengthOfSequence(text.substr(position));
    if (length == 0) {
      return position;
    }
    position += length;
  }
  return position;
}

std::string PrintableTextOf(std::string_view text, std::size_t most_bytes) {
  std::string printable;
  for (const char character : text) {
    if (printable.size() >= most_bytes) {
      return printable + "...";
    }
    const auto byte = static_cast<std::uint8_t>(character);
    if (byte >= 0x20U && byte < 0x7fU) {
      printable.push_back(character);
      continue;
    }
    printable += "\\x";
    printable.push_back(kHexDigits[byte >> 4U]);
    printable.push_back(kHexDigits[byte & 0xfU]);
  }
  return printable;
}

char LowerCaseOf(char character) {
  const bool is_upper = character >= 'A' && character <= 'Z';
  return is_upper ? static_cast<char>(character - 'A' + 'a') : character;
}

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char one, char other) {
                      return LowerCaseOf(one) == LowerCaseOf(other);
                    });
}

}  // namespace wagtailmount
