#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "LibBase/error.h"

namespace wagtailmount {

/// An IP address and a port. Valid as C++17 too, for LibLink's websocket
/// source.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  /// "127.0.0.1:8080" or "[::1]:8080".
  std::string ToText() const;
};

bool operator==(const endpoint& left, const endpoint& right);
bool operator!=(const endpoint& left, const endpoint& right);
bool operator<(const endpoint& left, const endpoint& right);

/// Reads what ToText() writes. Host names are refused, for VMs talk by IP
/// numbers.
result<endpoint> ParseEndpoint(std::string_view text);

}  // namespace wagtailmount
