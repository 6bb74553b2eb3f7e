#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string_view>

#include "LibBase/endpoint.h"
#include "LibBase/error.h"

namespace wagtailmount {

/// Calls a node's admin interface and waits for the whole answer. The error
/// says whether the node can't be reached (kUnavailable, kTimeout) or refused
/// the call (kInvalidInput).
result<nlohmann::json> CallAdmin(const endpoint& node, std::string_view method,
                                 std::string_view target,
                                 std::chrono::milliseconds timeout);

}  // namespace wagtailmount
