#include "LibBase/digest.h"

#include <openssl/sha.h>

#include <cstring>

namespace wagtailmount {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::size_t kShortHexDigits = 12;

int HexValueOf(char digit) {
  const auto position = kHexDigits.find(digit);
  return position == std::string_view::npos ? -1 : static_cast<int>(position);
}

}  // namespace

std::string digest::ToHex() const {
  std::string hex;
  hex.reserve(2 * kSizeBytes);
  for (const auto byte : bytes) {
    hex.push_back(kHexDigits[byte >> 4U]);
    hex.push_back(kHexDigits[byte & 0xfU]);
  }
  return hex;
}

std::string digest::ToShortHex() const {
  return ToHex().substr(0, kShortHexDigits);
}

digest DigestOf(std::string_view content) {
  digest value;
  SHA256(reinterpret_cast<const unsigned char*>(content.data()), content.size(),
         value.bytes.data());
  return value;
}

result<digest> ParseDigest(std::string_view hex) {
  if (hex.size() != 2 * digest::kSizeBytes) {
    return Fail(error_kind::kInvalidInput,
                "a digest has 64 hexadecimal digits, this text has " +
                    std::to_string(hex.size()) + " characters");
  }
  digest value;
  for (std::size_t i = 0; i < digest::kSizeBytes; ++i) {
    const int high = HexValueOf(hex[2 * i]);
    const int low = HexValueOf(hex[2 * i + 1]);
    if (high < 0 || low < 0) {
      return Fail(error_kind::kInvalidInput,
                  "a digest holds only the digits 0-9 and a-f");
    }
    value.bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return value;
}

std::uint64_t HashOf(std::string_view content) {
  const digest value = DigestOf(content);
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < sizeof hash; ++i) {
    hash = (hash << 8U) | value.bytes[i];
  }
  return hash;
}

}  // namespace wagtailmount

std::size_t std::hash<wagtailmount::digest>::operator()(
    const wagtailmount::digest& value) const noexcept {
  std::size_t hash = 0;
  std::memcpy(&hash, value.bytes.data(), sizeof hash);
  return hash;
}
