#pragma once

#include <span>

#include "LibLoad/request_fingerprint.h"
#include "LibRouting/routing_snapshot.h"

namespace wagtailmount {

/// The upstream at which a quarantined request is tried once its trial is due:
/// the same for all nodes that know the same upstreams, so that one backend
/// server at most is lost to it. Null if all are leaving
/// or evacuated.
const upstream* TrialUpstream(std::span<const upstream> upstreams,
                              const request_fingerprint& request);

}  // namespace wagtailmount
