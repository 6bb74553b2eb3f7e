#pragma once

#include <string>

#include "LibTraffic/traffic_state.h"

namespace wagtailmount::detail {

/// An id for a request whose caller gave it none.
std::string MakeRequestId(random_source& random);

/// Draws the target service from a route's traffic split by weight.
const service& ChooseTargetByWeight(const route& chosen, random_source& random);

}  // namespace wagtailmount::detail
