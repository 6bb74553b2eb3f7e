#include "LibNode/node_admin.h"

#include <utility>

#include "LibNode/control_report.h"
#include "LibNode/traffic_report.h"

namespace wagtailmount {

using nlohmann::json;

admin_answer node_admin::Answer(const admin_call& call) {
  static constexpr admin_route kAdminRoutes[] = {
      {"GET", "/v1/status", &node_admin::Status},
      {"GET", "/v1/events", &node_admin::Events},
      {"GET", "/v1/routes", &node_admin::Routes},
      {"GET", "/v1/upstreams", &node_admin::Upstreams},
      {"GET", "/v1/membership", &node_admin::Membership},
      {"GET", "/v1/peers", &node_admin::Peers},
      {"GET", "/v1/refusals", &node_admin::Refusals},
      {"GET", "/v1/counters", &node_admin::Counters},
      {"GET", "/v1/decisions", &node_admin::Decisions},
      {"POST", "/v1/drain", &node_admin::Drain},
  };
  bool is_path_known = false;
  for (const auto& route : kAdminRoutes) {
    if (route.path != call.path) {
      continue;
    }
    is_path_known = true;
    if (route.method == call.method) {
      return (this->*route.handle)(call);
    }
  }
  if (is_path_known) {
    return AdminError(405, "method not allowed for this path");
  }
  return AdminError(404, "no such path; see docs/ADMIN-API.md");
}

admin_answer node_admin::Status(const admin_call&) {
  json report = StatusReport(control_);
  report["in_flight"] = traffic_.Counters().in_flight;
  return {200, std::move(report)};
}

admin_answer node_admin::Events(const admin_call& call) {
  const auto after = QueryNumber(call.query, "after", 0);
  if (!after) {
    return AdminError(400, after.error().message);
  }
  return {200, EventsReport(control_, *after)};
}

admin_answer node_admin::Routes(const admin_call&) {
  return {200, RoutesReport(control_)};
}

admin_answer node_admin::Upstreams(const admin_call&) {
  return {200, UpstreamsReport(control_)};
}

admin_answer node_admin::Membership(const admin_call&) {
  return {200, MembershipReport(control_)};
}

admin_answer node_admin::Peers(const admin_call&) {
  return {200, PeersReport(control_)};
}

admin_answer node_admin::Refusals(const admin_call&) {
  return {200, RefusalsReport(control_)};
}

admin_answer node_admin::Counters(const admin_call&) {
  return {200, CountersReport(control_, traffic_)};
}

admin_answer node_admin::Decisions(const admin_call&) {
  return {200, DecisionsReport(traffic_)};
}

admin_answer node_admin::Drain(const admin_call&) {
  drain_();
  return {202, {{"draining", true}}};
}

}  // namespace wagtailmount
