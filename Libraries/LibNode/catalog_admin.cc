#include "LibNode/catalog_admin.h"

#include "LibNode/metrics_text.h"
#include "LibNode/traffic_report.h"

namespace wagtailmount {

using nlohmann::json;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

json StatusOf(const catalog_control& control) {
  const auto age = control.SourceAge();
  const auto& in_force = control.InForce();
  return {{"is_serving", control.IsServing()},
          {"version", in_force == nullptr ? 0 : in_force->Version().revision},
          {"complete_to", control.CompleteTo()},
          {"era", control.Era()},
          {"source_age_ms", age ? age->count() : -1},
          {"is_reader", control.IsReader()},
          {"evacuated_failure_domains", control.Evacuations().Names()},
          {"peers", control.PeerCount()},
          {"platform_calls", control.PlatformCalls()},
          {"platform_failures", control.PlatformFailures()}};
}

}  // namespace

admin_answer catalog_admin::Answer(const admin_call& call) {
  if (call.path == "/metrics") {
    return {kOk, {}, MetricsText(control_, traffic_, log_.Dropped())};
  }
  if (call.path == "/v1/decisions") {
    return {kOk, DecisionsReport(traffic_), {}};
  }
  if (call.path != "/v1/status") {
    return AdminError(kNotFound, "no such path; see docs/ADMIN-API.md");
  }
  json report = StatusOf(control_);
  report["in_flight"] = traffic_.Counters().in_flight;
  return {kOk, std::move(report), {}};
}

admin_answer readiness_handler::Answer(const admin_call& call) {
  if (call.path != path_) {
    return AdminError(kNotFound, "no such path");
  }
  const bool is_ready = is_ready_();
  return {is_ready ? kOk : kUnavailable, {{"is_ready", is_ready}}, {}};
}

}  // namespace wagtailmount
