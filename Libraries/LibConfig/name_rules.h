#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wagtailmount::detail {

/// Each function returns why the text is invalid, or nullopt if it is valid.

/// Names of files, teams and entries: 1 to 100 of the characters A-Z, a-z, 0-9,
/// ".", "_" and "-".
std::optional<std::string> FaultOfName(std::string_view name);

/// Host names in lower case and IPv4 addresses, without a port.
std::optional<std::string> FaultOfHost(std::string_view host);

/// Path prefixes: whole segments in unescaped characters, no "/" at the end.
std::optional<std::string> FaultOfPathPrefix(std::string_view prefix);

/// Header fields that a route may set. Refuses fields for message framing, the
/// request target and connection management, and those reserved for
/// wagtailmount.
std::optional<std::string> FaultOfHeaderName(std::string_view name);
std::optional<std::string> FaultOfHeaderValue(std::string_view value);

}  // namespace wagtailmount::detail
