#pragma once

#include <cstdint>
#include <string_view>

namespace wagtailmount {

/// Identifies the kind of a request, that is its route, in what nodes tell each
/// other of durations and load. Two routes share a number rarely; they then
/// share their learned durations, no more.
using request_kind = std::uint16_t;

/// Of a request from a node that doesn't tell the kind.
constexpr request_kind kUnknownKind = 0;

/// Returns the number of the route `route_name`, the same on all nodes and
/// never kUnknownKind.
request_kind KindOf(std::string_view route_name);

}  // namespace wagtailmount
