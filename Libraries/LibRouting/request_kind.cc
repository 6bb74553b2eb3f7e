#include "LibRouting/request_kind.h"

namespace wagtailmount {

namespace {

// The 32-bit FNV-1a hash, which doesn't differ between builds.
constexpr std::uint32_t kHashBasis = 2'166'136'261U;
constexpr std::uint32_t kHashPrime = 16'777'619U;
constexpr unsigned kKindBits = 16;

}  // namespace

request_kind KindOf(std::string_view route_name) {
  std::uint32_t hash = kHashBasis;
  for (const char each : route_name) {
    hash = (hash ^ static_cast<unsigned char>(each)) * kHashPrime;
  }
  const auto kind = static_cast<request_kind>(hash ^ (hash >> kKindBits));
  return kind == kUnknownKind ? request_kind{1} : kind;
}

}  // namespace wagtailmount
