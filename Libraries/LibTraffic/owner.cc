#include "LibTraffic/owner.h"

#include <string>

#include "LibLoad/retry.h"
#include "LibTraffic/header_fields.h"

namespace wagtailmount::detail {

namespace {

// A backend server may close an idle connection just as a request is written to
// it; the request then ends as "may have run". Requests that are not idempotent
// are therefore written only to connections used very recently.
constexpr std::chrono::milliseconds kMaximumIdleForAnyRequest{4'000};
constexpr std::chrono::milliseconds kMaximumIdleForNonIdempotent{1'000};

// How long this node still passes requests of other nodes to its backend server
// after learning that it is leaving. The strictest limit for new work after
// leaving is 2 s, and a node learns of it up to 1.2 s late when its reader is
// gone.
constexpr std::chrono::milliseconds kLeavingNotice{800};

attempt_result Refused(refusal_cause cause) {
  attempt_result refused;
  refused.outcome = attempt_outcome::kRefusedNotRun;
  refused.cause = cause;
  return refused;
}

std::string MillisecondsLeft(time_point deadline, time_point now) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
  return std::to_string(std::max<std::int64_t>(1, left.count()));
}

void PrepareForBackendServer(http_request& message,
                             std::string_view deadline_field,
                             time_point deadline, time_point now) {
  message.erase(ToBoost(kHopField));
  SetField(message, deadline_field, MillisecondsLeft(deadline, now));
}

// Converts an answer by which the backend server refuses to run the request
// into a refusal result.
void RecognizeRefusal(attempt_result& result, std::string_view not_run) {
  if (!result.answer) {
    return;
  }
  const std::string_view told = FieldOf(result.answer->message, not_run);
  const bool is_refusal =
      !told.empty() && told != "false" && !IsSuccess(result.answer->message);
  if (is_refusal) {
    result = Refused(refusal_cause::kShed);
  }
}

// A success without the proof of origin was not sent by the backend server.
void CheckOrigin(attempt_result& result, std::string_view proof) {
  const bool is_foreign = result.answer && !proof.empty() &&
                          IsSuccess(result.answer->message) &&
                          FieldOf(result.answer->message, proof).empty();
  if (is_foreign) {
    result = {};
    result.outcome = attempt_outcome::kAnswerMalformed;
  }
}

duration MaximumIdle(const http_request& message) {
  const bool is_idempotent =
      IsIdempotent(idempotency::kByMethod, ToStandard(message.method_string()));
  return is_idempotent ? kMaximumIdleForAnyRequest
                       : kMaximumIdleForNonIdempotent;
}

task<std::unique_ptr<http_connection>> ConnectionToBackendServer(
    traffic_worker& worker, const owner_request& asked) {
  const traffic_state& state = worker.state;
  const time_point now = state.clock.Now();
  std::unique_ptr<http_connection> connection = worker.pool.Take(
      state.settings.backend_server, now, MaximumIdle(asked.request.message));
  if (connection != nullptr) {
    connection->permit.Return();
  } else {
    const duration patience =
        std::min<duration>(kConnectTimeout, asked.deadline - now);
    connection = co_await Connect(state.settings.backend_server, patience);
  }
  co_return connection;
}

// Keeps the connection for reuse if the limit on idle connections allows.
void KeepConnection(traffic_worker& worker,
                    std::unique_ptr<http_connection> connection) {
  traffic_state& state = worker.state;
  connection->permit = state.gate.TryKeepConnection();
  if (connection->permit.IsGiven()) {
    worker.pool.Keep(state.settings.backend_server, std::move(connection),
                     state.clock.Now());
  }
}

void LogRefusal(traffic_state& state, const owner_request& asked,
                refusal_cause cause) {
  if (state.log == nullptr) {
    return;
  }
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const time_point now = state.clock.Now();
  const owner_load load = state.gate.Load(asked.priority);
  log_line line{"owner-refused"};
  line.Text("id", FieldOf(asked.request.message, kRequestIdField))
      .Text("cause", NameOf(cause))
      .Number("rank", static_cast<std::int64_t>(asked.priority))
      .Number("wait_ms", duration_cast<milliseconds>(load.wait).count())
      .Number("service_ms", duration_cast<milliseconds>(load.service).count())
      .Number("left_ms",
              duration_cast<milliseconds>(asked.deadline - now).count());
  state.log->Add(std::move(line));
}

// Whether the backend server of this VM has been leaving for so long that no
// request may start there, even if other nodes do not know of it yet.
bool HasLeft(const traffic_state& state) {
  const auto snapshot = state.snapshot.load();
  if (snapshot == nullptr || !snapshot->Own()) {
    return false;
  }
  const time_point since = snapshot->Own()->leaving_since;
  return since != time_point{} && state.clock.Now() - since > kLeavingNotice;
}

}  // namespace

task<attempt_result> RunAtBackendServer(traffic_worker& worker,
                                        owner_request asked) {
  traffic_state& state = worker.state;
  gate_reply entered = co_await state.gate.Enter(
      {asked.deadline, asked.priority, asked.objective});
  if (entered.refused == refusal_cause::kNone && HasLeft(state)) {
    entered.refused = refusal_cause::kDraining;
    entered.slot.SetNotRun();
  }
  if (entered.refused != refusal_cause::kNone) {
    ++state.counters.owner_refused;
    LogRefusal(state, asked, entered.refused);
    co_return Refused(entered.refused);
  }
  std::unique_ptr<http_connection> connection =
      co_await ConnectionToBackendServer(worker, asked);
  if (connection == nullptr) {
    attempt_result unreachable;
    unreachable.cause = refusal_cause::kUnreachable;
    co_return unreachable;
  }
  // This process may have been suspended since it read the request, so the
  // deadline and the client's connection are checked again. A client that has
  // given up may already have reported that to its own caller.
  const time_point now = state.clock.Now();
  const bool is_late = now >= asked.deadline;
  if (is_late || asked.watch.HasLeft()) {
    KeepConnection(worker, std::move(connection));
    ++state.counters.owner_refused;
    co_return Refused(is_late ? refusal_cause::kTooLate
                              : refusal_cause::kAbandoned);
  }
  ++state.counters.owner_admitted;
  const request_fields& fields = state.settings.fields;
  PrepareForBackendServer(asked.request.message, fields.backend_deadline,
                          asked.deadline, now);
  attempt_result result = co_await Exchange(
      connection, asked.request, asked.deadline, state.clock,
      {.id = id_rule::kIfGiven,
       .may_end_with_connection = fields.may_end_with_connection},
      asked.watch);
  if (connection != nullptr) {
    KeepConnection(worker, std::move(connection));
  }
  const bool has_arrived =
      result.outcome != attempt_outcome::kClosedBeforeFirstByte;
  RecognizeRefusal(result, fields.not_run);
  CheckOrigin(result, fields.proof_of_origin);
  result.has_arrived = has_arrived;
  if (!result.answer || IsServerError(result.answer->message)) {
    entered.slot.SetNotRun();
  }
  if (result.answer) {
    RemoveConnectionAndOwnFields(result.answer->message);
    if (result.answer->rest != nullptr) {
      result.answer->slot = std::move(entered.slot);
    }
  }
  co_return result;
}

}  // namespace wagtailmount::detail
