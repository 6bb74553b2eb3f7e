#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "LibBase/error.h"

namespace wagtailmount {

/// A SHA-256 digest. It guards acceptance, so it must be cryptographic.
struct digest {
  static constexpr std::size_t kSizeBytes = 32;

  std::array<std::uint8_t, kSizeBytes> bytes{};

  auto operator<=>(const digest&) const = default;

  /// 64 lower-case hexadecimal digits.
  std::string ToHex() const;

  /// The first 12 hexadecimal digits, for logs and tables.
  std::string ToShortHex() const;
};

/// The digest of `content`.
digest DigestOf(std::string_view content);

/// Reads what ToHex() wrote.
result<digest> ParseDigest(std::string_view hex);

/// The first eight bytes of the SHA-256 digest of `content`, for hash rings and
/// rendezvous ranks.
std::uint64_t HashOf(std::string_view content);

}  // namespace wagtailmount

template <>
struct std::hash<wagtailmount::digest> {
  std::size_t operator()(const wagtailmount::digest& value) const noexcept;
};
