#include "LibLoad/trial_upstream.h"

#include <cstdint>

namespace wagtailmount {

const upstream* TrialUpstream(std::span<const upstream> upstreams,
                              const request_fingerprint& request) {
  const std::string name = request.whole.ToHex();
  const upstream* chosen = nullptr;
  std::uint64_t least = 0;
  for (const upstream& each : upstreams) {
    const std::uint64_t rank = HashOf(name + each.vm);
    if (!each.is_leaving && !each.is_evacuated &&
        (chosen == nullptr || rank < least)) {
      chosen = &each;
      least = rank;
    }
  }
  return chosen;
}

}  // namespace wagtailmount
