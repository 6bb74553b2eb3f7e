#include "LibNode/traffic_start.h"

#include "LibBase/digest.h"

namespace wagtailmount {

std::uint64_t MakeRandomSeed(const node_settings& settings,
                             const runtime_clock& clock) {
  return HashOf(settings.vm) ^
         static_cast<std::uint64_t>(clock.UnixMilliseconds());
}

traffic_settings MakeTrafficSettings(const node_settings& settings,
                                     std::uint64_t seed) {
  return {.vm = settings.vm,
          .failure_domain = settings.failure_domain,
          .region = settings.region,
          .service = settings.service,
          .caller = settings.caller,
          .hop = settings.hop,
          .backend_server = settings.backend_server,
          .threads = settings.traffic_threads,
          .seed = seed,
          .maximum_descriptors = settings.maximum_descriptors,
          .fields = {},
          .cold_overage = settings.cold_overage,
          .cold_slack = settings.cold_slack,
          .link_megabits_per_second = settings.link_megabits_per_second,
          .retries = {}};
}

}  // namespace wagtailmount
