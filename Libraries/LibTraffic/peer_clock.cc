#include "LibTraffic/peer_clock.h"

#include <algorithm>

namespace wagtailmount::detail {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The estimate is made anew after this time: the clock of a suspended VM stands
// still, and the two then differ by another amount.
constexpr std::chrono::seconds kLeadLifetime{10};

}  // namespace

milliseconds StatedTime(time_point at) {
  return duration_cast<milliseconds>(at.time_since_epoch());
}

void peer_clock::Record(time_point now, milliseconds peer_time) {
  const milliseconds lead = peer_time - StatedTime(now);
  const bool is_expired = now - lead_since_ > kLeadLifetime;
  if (!lead_ || is_expired) {
    lead_ = lead;
    lead_since_ = now;
  } else {
    lead_ = std::max(*lead_, lead);
  }
}

std::optional<milliseconds> peer_clock::PeerTimeAt(time_point at) const {
  if (!lead_) {
    return std::nullopt;
  }
  return StatedTime(at) + *lead_;
}

}  // namespace wagtailmount::detail
