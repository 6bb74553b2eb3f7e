#include "LibRouting/routing_snapshot.h"

#include <algorithm>
#include <utility>

namespace wagtailmount {

routing_snapshot::routing_snapshot(
    std::shared_ptr<const configuration> accepted,
    std::vector<std::shared_ptr<const service_upstreams>> upstreams,
    std::optional<own_backend_server> own)
    : accepted_(std::move(accepted)),
      upstreams_(std::move(upstreams)),
      own_(std::move(own)) {}

std::span<const upstream> routing_snapshot::UpstreamsOf(
    std::string_view service) const {
  const auto found = std::lower_bound(
      upstreams_.begin(), upstreams_.end(), service,
      [](const std::shared_ptr<const service_upstreams>& entry,
         std::string_view name) { return entry->service < name; });
  if (found == upstreams_.end() || (*found)->service != service) {
    return {};
  }
  return (*found)->upstreams;
}

}  // namespace wagtailmount
