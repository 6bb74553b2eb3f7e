#include "LibNode/control_report.h"

#include <string>

namespace wagtailmount {

namespace {

using nlohmann::json;

json ReportVersion(const version_id& version) {
  return {{"revision", version.revision}, {"digest", version.content.ToHex()}};
}

json ReportHeld(const control_plane& control) {
  const auto held = control.Spreader().Held();
  if (held == nullptr) {
    return nullptr;
  }
  json report = ReportVersion(held->Version());
  report["files"] = held->Manifest().size();
  if (const auto& provenance = control.Provenance()) {
    report["from"] = provenance->from_peer.empty()
                         ? "platform"
                         : "peer " + provenance->from_peer;
    report["hops"] = provenance->hops;
    report["source_age_ms"] = provenance->source_age.count();
    report["since_unix_ms"] = provenance->since_unix_milliseconds;
  }
  return report;
}

json ReportReader(const control_plane& control) {
  const auto& reader = control.FolderReader();
  const auto& counters = reader.Counters();
  return {{"reads", reader.IsReading()},
          {"platform", NameOf(reader.State())},
          {"calls", control.ReadBudget().Taken()},
          {"calls_held_back", control.ReadBudget().Refused()},
          {"budget_calls_per_second", control.ReadBudget().CallsPerSecond()},
          {"snapshots", counters.snapshots},
          {"torn_reads", counters.torn_reads},
          {"failures", counters.failures},
          {"lower_revisions", counters.lower_revisions}};
}

json ReportRefusal(const refused_effect& effect) {
  const refusal& refused = effect.refused;
  json reasons = json::array();
  for (const auto& reason : refused.reasons) {
    reasons.push_back({{"file", reason.file},
                       {"path", reason.path},
                       {"reason", reason.reason}});
  }
  json report = ReportVersion(refused.version);
  report["reasons"] = std::move(reasons);
  report["from"] =
      effect.from_peer.empty() ? "platform" : "peer " + effect.from_peer;
  report["judged_here"] = !effect.is_reported;
  return report;
}

json ReportRecord(const vm_record& record) {
  return {{"vm", record.vm},
          {"region", record.region},
          {"failure_domain", record.failure_domain},
          {"service", record.service},
          {"peer", record.peer.ToText()},
          {"hop", record.hop.ToText()},
          {"incarnation", record.incarnation},
          {"state", NameOf(record.state)}};
}

std::string_view NameOf(request_priority priority) {
  return priority == request_priority::kInteractive ? "interactive"
                                                    : "background";
}

std::string_view NameOf(idempotency repeatable) {
  switch (repeatable) {
    case idempotency::kAlways:
      return "always";
    case idempotency::kNever:
      return "never";
    case idempotency::kByMethod:
      break;
  }
  return "by-method";
}

json ReportRoute(const route& shown) {
  return {{"route", shown.name},
          {"team", shown.team},
          {"host", shown.host},
          {"path_prefix", shown.path_prefix},
          {"methods", shown.methods},
          {"service", shown.target->name},
          {"retry", shown.retry->name},
          {"headers", shown.headers == nullptr ? "" : shown.headers->name},
          {"priority", NameOf(shown.priority)},
          {"idempotent", NameOf(shown.repeatable)},
          {"deadline_ms", shown.deadline.count()}};
}

}  // namespace

json StatusReport(const control_plane& control) {
  const auto& settings = control.Settings();
  const auto source_age = control.SourceAge();
  return {
      {"vm", settings.vm},
      {"region", settings.region},
      {"failure_domain", settings.failure_domain},
      {"service", settings.service},
      {"incarnation", control.Membership().Self().incarnation},
      {"phase", NameOf(control.Phase())},
      {"started_unix_ms", control.StartedUnixMilliseconds()},
      {"unix_ms", control.UnixMilliseconds()},
      {"held", ReportHeld(control)},
      {"newest_seen", control.Spreader().NewestSeen()},
      {"source_age_ms", source_age ? json(source_age->count()) : json(nullptr)},
      {"reader", ReportReader(control)},
      {"vms", control.Membership().Size()},
      {"evacuated_failure_domains", control.Evacuations().Names()},
      {"peers", control.PeerLinks().Peers().size()},
      {"last_event", control.Events().LastSequence()}};
}

json EventsReport(const control_plane& control, std::uint64_t after) {
  json events = json::array();
  for (const auto& entry : control.Events().After(after)) {
    events.push_back({{"sequence", entry.sequence},
                      {"unix_ms", entry.unix_milliseconds},
                      {"kind", NameOf(entry.kind)},
                      {"revision", entry.revision},
                      {"text", entry.text}});
  }
  return {{"vm", control.Settings().vm}, {"events", std::move(events)}};
}

json RoutesReport(const control_plane& control) {
  json routes = json::array();
  const auto held = control.Spreader().Held();
  if (held != nullptr) {
    for (const auto& shown : held->Routes()) {
      routes.push_back(ReportRoute(*shown));
    }
  }
  return {{"held", ReportHeld(control)}, {"routes", std::move(routes)}};
}

json UpstreamsReport(const control_plane& control) {
  json services = json::array();
  for (const auto& service : control.Membership().AllUpstreams()) {
    json upstreams = json::array();
    for (const auto& shown : service->upstreams) {
      upstreams.push_back({{"vm", shown.vm},
                           {"failure_domain", shown.failure_domain},
                           {"region", shown.region},
                           {"hop", shown.hop.ToText()},
                           {"incarnation", shown.incarnation},
                           {"leaving", shown.is_leaving},
                           {"suspect", shown.is_suspect},
                           {"evacuated", shown.is_evacuated}});
    }
    services.push_back(
        {{"service", service->service}, {"upstreams", std::move(upstreams)}});
  }
  return {{"services", std::move(services)}};
}

json MembershipReport(const control_plane& control) {
  json records = json::array();
  control.Membership().ForEachRecord([&records](const vm_record& record) {
    records.push_back(ReportRecord(record));
  });
  return {{"hash", control.Membership().Hash()},
          {"records", std::move(records)}};
}

json PeersReport(const control_plane& control) {
  json peers = json::array();
  for (const auto& vm : control.PeerLinks().Peers()) {
    peers.push_back(
        {{"vm", vm},
         {"held", ReportVersion(control.Spreader().LastHeldBy(vm))}});
  }
  const auto& counters = control.PeerLinks().Counters();
  return {{"peers", std::move(peers)},
          {"malformed_frames", counters.malformed_frames},
          {"refused_hellos", counters.refused_hellos},
          {"silent_links_closed", counters.silent_links_closed},
          {"failed_opens", counters.failed_opens}};
}

json RefusalsReport(const control_plane& control) {
  json refusals = json::array();
  for (const auto& refused : control.Refusals()) {
    refusals.push_back(ReportRefusal(refused));
  }
  return {{"refusals", std::move(refusals)}};
}

}  // namespace wagtailmount
