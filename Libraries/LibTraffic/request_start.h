#pragma once

#include <string>

#include "LibTraffic/traffic_state.h"

namespace wagtailmount::detail {

/// An id for a request whose caller gave it none.
std::string MakeRequestId(random_source& random);

/// Draws the target service from a route's traffic split by weight.
const service& ChooseTargetByWeight(const route& chosen, random_source& random);

/// Whether an answer on the route may be too long to be held whole, by what is
/// declared or was seen. It then reaches its caller before its end is known.
bool ExpectsLongAnswer(traffic_worker& worker, const route& chosen);

}  // namespace wagtailmount::detail
