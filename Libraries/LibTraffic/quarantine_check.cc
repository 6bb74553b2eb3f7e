#include "LibTraffic/quarantine_check.h"

#include "LibLoad/crash_report_text.h"
#include "LibLoad/trial_upstream.h"
#include "LibTraffic/backend_crash.h"
#include "LibTraffic/header_fields.h"
#include "LibTraffic/request_fingerprints.h"

namespace wagtailmount::detail {

namespace {

// Whether the backend server gives this answer to a request that it runs. A
// server error may come from one that did not run it, and by the definition of
// the others the request was turned away.
bool SpeaksForRequest(const http_response& answer) {
  switch (answer.result()) {
    case http::status::misdirected_request:
    case http::status::too_many_requests:
      return false;
    default:
      return !IsServerError(answer);
  }
}

}  // namespace

quarantine_check::quarantine_check(traffic_worker& worker,
                                   const owner_request& incoming)
    : worker_(worker),
      state_(worker.state),
      incoming_(incoming),
      suspect_(state_.quarantine.SuspectOf(incoming.request)) {}

bool quarantine_check::IsTrialHere() const {
  const auto snapshot = state_.snapshot.load();
  if (snapshot == nullptr) {
    return false;
  }
  const upstream* const chosen =
      TrialUpstream(snapshot->UpstreamsOf(
                        traffic_state::OwnService(state_.settings, *snapshot)),
                    *suspect_);
  return chosen != nullptr && chosen->vm == state_.settings.vm;
}

bool quarantine_check::IsRefused() const {
  if (!suspect_) {
    return false;
  }
  const request_standing standing = state_.quarantine.StandingOf(*suspect_);
  return standing == request_standing::kQuarantined ||
         (standing == request_standing::kTrialDue && !IsTrialHere());
}

refusal_cause quarantine_check::CauseNotToStart() {
  // More may be known than when the request arrived.
  suspect_ = state_.quarantine.SuspectOf(incoming_.request);
  if (!suspect_) {
    return refusal_cause::kNone;
  }
  known_crashes_ = state_.quarantine.CrashesOf(*suspect_);
  const refusal_cause refused =
      state_.quarantine.TryBeginRun(*suspect_, known_crashes_, IsTrialHere());
  if (refused == refusal_cause::kNone) {
    running_ = suspect_;
  }
  return refused;
}

quarantine_check::~quarantine_check() {
  if (running_) {
    state_.quarantine.EndRun(*running_);
  }
}

task<void> quarantine_check::RecordEnd(attempt_result& result) {
  if (result.answer && SpeaksForRequest(result.answer->message)) {
    suspect_ = state_.quarantine.SuspectOf(incoming_.request);
    if (suspect_ && result.answer->remaining_body == nullptr) {
      state_.quarantine.RecordAnswer(*suspect_);
    } else {
      result.answer->suspect = suspect_;
    }
    co_return;
  }
  if (!IsLostInExchange(result.outcome) ||
      incoming_.watch.HasClientDisconnected()) {
    co_return;
  }
  const bool has_crashed = co_await HasBackendServerCrashed(worker_);
  if (has_crashed) {
    ++state_.counters.backend_crashes;
    suspect_ = state_.quarantine.RecordCrash(
        incoming_.request,
        FieldOf(incoming_.request.message,
                state_.settings.fields.expected_backend_server),
        known_crashes_);
  }
}

std::string quarantine_check::ReportsText() const {
  return suspect_ ? FormatCrashReports(state_.quarantine.ReportsOf(*suspect_))
                  : std::string{};
}

std::string CrashReportsText(const traffic_state& state,
                             const outgoing_request& request) {
  const auto suspect = state.quarantine.SuspectOf(request);
  return suspect ? FormatCrashReports(state.quarantine.ReportsOf(*suspect))
                 : std::string{};
}

void MergeCrashReports(traffic_state& state, const outgoing_request& request,
                       std::string_view text) {
  if (text.empty()) {
    return;
  }
  const auto reports = ParseCrashReports(
      text, FingerprintOf(request, state.settings.fields.caller_service));
  if (reports) {
    state.quarantine.MergeFromHop(*reports);
  } else if (state.log != nullptr) {
    log_line line{"crash-reports-malformed"};
    line.Text("id", FieldOf(request.message, kRequestIdField));
    state.log->Add(std::move(line));
  }
}

}  // namespace wagtailmount::detail
