#pragma once

#include <string_view>

#include "LibConfig/configuration.h"

namespace wagtailmount {

/// Whether `left` precedes `right` in a configuration. Routes are sorted by
/// host (any host last), then longer path prefixes first, then routes with
/// named methods before those for any method. The first route that matches a
/// request is the most specific one.
bool IsBefore(const route& left, const route& right);

/// Whether host `left` precedes `right`: by name, the empty one (any host)
/// last.
bool IsHostBefore(std::string_view left, std::string_view right);

/// Whether prefix `left` precedes `right`: longer prefixes first, then by text.
bool IsPrefixBefore(std::string_view left, std::string_view right);

/// Whether the route matches requests with this method.
bool TakesMethod(const route& each, std::string_view method);

}  // namespace wagtailmount
