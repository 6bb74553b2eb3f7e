#pragma once

#include <compare>
#include <cstdint>

#include "LibBase/digest.h"

namespace wagtailmount {

/// Identifies the requests that are equal to a backend server: same method,
/// host, target, service of the caller and body.
struct request_fingerprint {
  std::uint64_t head = 0;  ///< Of all but the body; tells most requests apart.
  /// Of all, body included. Cryptographic, so that no caller can make a request
  /// that is taken for another caller's.
  digest whole;

  auto operator<=>(const request_fingerprint&) const = default;
};

}  // namespace wagtailmount
