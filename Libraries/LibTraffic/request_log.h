#pragma once

#include <cstdint>
#include <string_view>

#include "LibTraffic/entry.h"

namespace wagtailmount::detail {

/// What the log says of a caller's request that ended.
struct request_end {
  std::string_view id;
  const route& chosen_route;
  const service& target;
  const entry_result& result;
  duration taken{};
  duration objective_left{};  ///< Negative once the objective is missed.
  std::uint64_t version = 0;  ///< Revision of the configuration.
};

void LogRequestEnd(structured_log& log, const request_end& ended);

}  // namespace wagtailmount::detail
