#include "LibNode/traffic_report.h"

#include <utility>

#include "LibReport/node_counters.h"

namespace wagtailmount {

namespace {

using nlohmann::json;

node_counters CollectCounters(const control_plane& control,
                              const traffic_server& traffic) {
  const link_counters links = control.LinkCounters();
  node_counters counters;
  counters.vm = control.Settings().vm;
  counters.started_unix_ms = control.StartedUnixMilliseconds();
  counters.unix_ms = control.UnixMilliseconds();
  counters.changes = control.Convergence().changes;
  counters.late_changes = control.Convergence().late;
  counters.control_bytes = links.bytes_sent + links.bytes_received;
  for (const auto& service : traffic.ServiceCounts()) {
    counters.services.push_back(
        {service.service, service.requests, service.failed, service.slow});
  }
  return counters;
}

json ReportTraffic(const traffic_counters& counters) {
  return {{"requests", counters.requests},
          {"answered_ran", counters.answered_ran},
          {"answered_may_have_run", counters.answered_may_have_run},
          {"answered_not_run", counters.answered_not_run},
          {"bad_requests", counters.bad_requests},
          {"attempts", counters.attempts},
          {"retries", counters.retries},
          {"retries_over_budget", counters.retries_over_budget},
          {"owner_admitted", counters.owner_admitted},
          {"owner_admitted_limited", counters.owner_admitted_limited},
          {"owner_admitted_cold", counters.owner_admitted_cold},
          {"owner_refused", counters.owner_refused},
          {"owner_refused_evacuated", counters.owner_refused_evacuated},
          {"late_answers_dropped", counters.late_answers_dropped},
          {"backend_crashes", counters.backend_crashes},
          {"refused_quarantined", counters.refused_quarantined},
          {"in_flight", counters.in_flight}};
}

json ReportLatencies(const traffic_server& traffic) {
  json latencies = json::object();
  for (const auto& service : traffic.ServiceCounts()) {
    latencies[service.service] = {{"median_us", service.latency_median.count()},
                                  {"p99_us", service.latency_p99.count()},
                                  {"p999_us", service.latency_p999.count()}};
  }
  return latencies;
}

json ReportLinks(const link_counters& counters) {
  return {{"frames_sent", counters.frames_sent},
          {"frames_received", counters.frames_received},
          {"bytes_sent", counters.bytes_sent},
          {"bytes_received", counters.bytes_received},
          {"frames_refused", counters.frames_refused},
          {"frames_unfit", counters.frames_unfit}};
}

json ReportSpread(const spread_counters& counters) {
  return {{"offers_sent", counters.offers_sent},
          {"pulls_started", counters.pulls_started},
          {"pulls_completed", counters.pulls_completed},
          {"pulls_failed", counters.pulls_failed},
          {"body_bytes_received", counters.body_bytes_received},
          {"body_mismatches", counters.body_mismatches},
          {"manifest_mismatches", counters.manifest_mismatches},
          {"versions_in_force", counters.versions_in_force},
          {"versions_refused", counters.versions_refused},
          {"conflicts", counters.conflicts}};
}

}  // namespace

json CountersReport(const control_plane& control,
                    const traffic_server& traffic) {
  json report = ToJson(CollectCounters(control, traffic));
  report["traffic"] = ReportTraffic(traffic.Counters());
  report["latencies"] = ReportLatencies(traffic);
  report["links"] = ReportLinks(control.LinkCounters());
  report["spread"] = ReportSpread(control.Spreader().Counters());
  return report;
}

json DecisionsReport(const traffic_server& traffic) {
  json decisions = json::array();
  for (const auto& decision : traffic.RecentDecisions()) {
    decisions.push_back({{"request_id", decision.request_id},
                         {"route", decision.route},
                         {"service", decision.service},
                         {"upstream", decision.upstream},
                         {"why", NameOf(decision.why)},
                         {"attempts", decision.attempts},
                         {"verdict", NameOf(decision.proved)},
                         {"reason", NameOf(decision.reason)}});
  }
  return {{"decisions", std::move(decisions)}};
}

}  // namespace wagtailmount
