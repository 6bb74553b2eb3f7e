#include "LibTraffic/owner.h"

#include <string>

#include "LibLoad/retry.h"
#include "LibLoad/start_check.h"
#include "LibTraffic/header_fields.h"
#include "LibTraffic/quarantine_check.h"

namespace wagtailmount::detail {

namespace {

// A backend server may close an idle connection just as a request is written to
// it; the request then ends as "may have run". Requests that are not idempotent
// are therefore written only to connections used very recently.
constexpr std::chrono::milliseconds kMaximumIdleForIdempotent{4'000};
constexpr std::chrono::milliseconds kMaximumIdleForNonIdempotent{1'000};

attempt_result MakeRefusal(refusal_cause cause) {
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
  message.erase(ToBoost(kKindField));
  message.erase(ToBoost(kOwnerDeadlineField));
  message.erase(ToBoost(kRateLimitField));
  message.erase(ToBoost(kCrashesField));
  SetField(message, deadline_field, MillisecondsLeft(deadline, now));
}

// Converts an answer by which the backend server refuses to run the request
// into a refusal result.
void ConvertRefusal(attempt_result& result, std::string_view not_run) {
  if (!result.answer) {
    return;
  }
  const std::string_view not_run_value =
      FieldOf(result.answer->message, not_run);
  const bool is_refusal = !not_run_value.empty() && not_run_value != "false" &&
                          !IsSuccess(result.answer->message);
  if (is_refusal) {
    result = MakeRefusal(refusal_cause::kShed);
  }
}

// A success without the proof of origin was not sent by the backend server.
void CheckProofOfOrigin(attempt_result& result, std::string_view proof) {
  const bool lacks_proof = result.answer && !proof.empty() &&
                           IsSuccess(result.answer->message) &&
                           FieldOf(result.answer->message, proof).empty();
  if (lacks_proof) {
    result = {};
    result.outcome = attempt_outcome::kAnswerMalformed;
  }
}

duration MaximumIdle(const http_request& message) {
  const bool is_idempotent =
      IsIdempotent(idempotency::kByMethod, ToStandard(message.method_string()));
  return is_idempotent ? kMaximumIdleForIdempotent
                       : kMaximumIdleForNonIdempotent;
}

task<std::unique_ptr<http_connection>> ConnectionToBackendServer(
    traffic_worker& worker, const owner_request& incoming) {
  const traffic_state& state = worker.state;
  const time_point now = state.clock.Now();
  worker.pool.TakeClosedIdleSince();  // Of another target.
  const endpoint& backend_server = state.settings.backend_server;
  const duration maximum_idle = MaximumIdle(incoming.request.message);
  std::unique_ptr<http_connection> connection =
      worker.pool.Take(backend_server, now, maximum_idle);
  // A second copy of the answer to an earlier attempt of this request, which
  // may still come there, could not be told from the answer to this one.
  while (connection != nullptr &&
         connection->last_request_id ==
             FieldOf(incoming.request.message, kRequestIdField)) {
    connection = worker.pool.Take(backend_server, now, maximum_idle);
  }
  if (const auto closed = worker.pool.TakeClosedIdleSince()) {
    worker.state.warmth.RecordConnectionLost(*closed);
  }
  if (connection != nullptr) {
    connection->permit.Return();
  } else {
    const duration connect_timeout =
        std::min<duration>(kConnectTimeout, incoming.deadline - now);
    connection =
        co_await Connect(state.settings.backend_server, connect_timeout);
    if (connection == nullptr) {
      worker.state.warmth.RecordUnreachable();
    } else {
      connection->opened_at = state.clock.Now();
      connection->idle_since = connection->opened_at;
    }
  }
  co_return connection;
}

void LogRefusal(traffic_state& state, const owner_request& incoming,
                refusal_cause cause) {
  if (state.log == nullptr) {
    return;
  }
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const time_point now = state.clock.Now();
  const owner_load load = state.gate.Load(incoming.priority, incoming.kind);
  log_line line{"owner-refused"};
  line.Text("id", FieldOf(incoming.request.message, kRequestIdField))
      .Text("cause", NameOf(cause))
      .Number("rank", static_cast<std::int64_t>(incoming.priority))
      .Number("kind", incoming.kind)
      .Number("wait_ms", duration_cast<milliseconds>(load.wait).count())
      .Number("service_ms", duration_cast<milliseconds>(load.service).count())
      .Number("left_ms",
              duration_cast<milliseconds>(incoming.deadline - now).count());
  state.log->Add(std::move(line));
}

// Records what the backend server states about itself in its answer to a
// request that was sent at `asked_at`.
void RecordStatement(traffic_state& state, const owner_request& incoming,
                     const attempt_result& result, time_point asked_at) {
  if (!result.answer) {
    return;
  }
  const request_fields& fields = state.settings.fields;
  const std::string_view id =
      FieldOf(incoming.request.message, fields.expected_backend_server);
  const auto statement = ReadStatement(result.answer->message, fields);
  if (!statement) {
    return;
  }
  state.statements.SetAnswered();
  state.statements.Log(id, *statement,
                       state.statements.Record(asked_at, id, *statement));
  state.statements.LogStarts(id, state.counters.owner_admitted);
  // An answer of an earlier start may come late.
  if (state.statements.IsCurrent(id)) {
    state.gate.SetRateLimit(state.statements.RateLimitOf(id));
  }
}

// Where the caller has left, this node has closed the connection itself.
slot_use UseOfUnanswered(const owner_request& incoming,
                         const attempt_result& result) {
  const bool is_given_up =
      !result.answer &&
      result.outcome != attempt_outcome::kClosedBeforeFirstByte &&
      (result.outcome == attempt_outcome::kNoAnswerInTime ||
       incoming.watch.HasClientDisconnected());
  return is_given_up ? slot_use::kGivenUp : slot_use::kNotRun;
}

bool IsConnectionLost(attempt_outcome outcome) {
  return outcome == attempt_outcome::kClosedBeforeFirstByte ||
         outcome == attempt_outcome::kLostWhileWriting ||
         outcome == attempt_outcome::kLostAfterWriting ||
         outcome == attempt_outcome::kAnswerTruncated;
}

// Records what the end of a request that was sent at `asked_at`, on a
// connection opened at `opened_at` and alive at `alive_at`, tells of the
// backend server's coldness.
void RecordWarmth(traffic_state& state, const owner_request& incoming,
                  const attempt_result& result, time_point opened_at,
                  time_point alive_at, time_point asked_at) {
  if (result.answer) {
    const std::string_view field = state.settings.fields.cold_time;
    state.warmth.RecordAnswer(
        opened_at, asked_at,
        field.empty() ? field : FieldOf(result.answer->message, field));
  } else if (IsConnectionLost(result.outcome) &&
             !incoming.watch.IsWithdrawn() &&
             !incoming.watch.HasClientDisconnected()) {
    state.warmth.RecordConnectionLost(alive_at);
  }
}

// Until the backend server's first answer, this process knows its rate limit
// only from other nodes.
void ApplyKnownRateLimit(traffic_state& state, const owner_request& incoming) {
  const std::string_view id = FieldOf(
      incoming.request.message, state.settings.fields.expected_backend_server);
  if (incoming.known_rate_limit && state.statements.IsCurrent(id) &&
      state.statements.RecordFromPeer(id, *incoming.known_rate_limit)) {
    state.gate.SetRateLimit(incoming.known_rate_limit);
  }
}

time_point StatedLeavingSince(const traffic_state& state,
                              const owner_request& incoming) {
  return state.statements.LeavingSince(FieldOf(
      incoming.request.message, state.settings.fields.expected_backend_server));
}

bool IsStatedToLeave(const traffic_state& state,
                     const owner_request& incoming) {
  return StatedLeavingSince(state, incoming) != time_point{};
}

// Since when the backend server that the request is meant for has been leaving,
// by the newest snapshot or its own answers; zero if it is not.
time_point LeavingSince(const traffic_state& state,
                        const owner_request& incoming) {
  const auto snapshot = state.snapshot.load();
  const time_point published = snapshot != nullptr && snapshot->Own()
                                   ? snapshot->Own()->leaving_since
                                   : time_point{};
  const time_point stated = StatedLeavingSince(state, incoming);
  if (published == time_point{} || stated == time_point{}) {
    return std::max(published, stated);
  }
  return std::min(published, stated);
}

bool IsEvacuated(const traffic_state& state) {
  const auto snapshot = state.snapshot.load();
  return snapshot != nullptr && snapshot->Own() &&
         snapshot->Own()->evacuated_since != time_point{};
}

refusal_cause CauseNotToStartNow(const traffic_state& state,
                                 const owner_request& incoming) {
  return CauseNotToStart(
      state.clock.Now(),
      {.deadline = incoming.deadline,
       .has_requester_left = incoming.watch.HasClientDisconnected(),
       .leaving_since = LeavingSince(state, incoming),
       .is_evacuated = IsEvacuated(state)});
}

}  // namespace

task<attempt_result> RunAtBackendServer(traffic_worker& worker,
                                        owner_request incoming) {
  traffic_state& state = worker.state;
  ApplyKnownRateLimit(state, incoming);
  state.warmth.Refresh();
  quarantine_check quarantine{worker, incoming};
  slot_result acquired;
  if (quarantine.IsRefused()) {
    acquired.refused = refusal_cause::kQuarantined;
  } else if (IsEvacuated(state)) {
    acquired.refused = refusal_cause::kEvacuated;
  } else {
    acquired =
        co_await state.gate.AcquireSlot({incoming.deadline, incoming.priority,
                                         incoming.objective, incoming.kind},
                                        incoming.watch);
  }
  std::unique_ptr<http_connection> connection;
  if (acquired.refused == refusal_cause::kNone) {
    connection = co_await ConnectionToBackendServer(worker, incoming);
    if (connection == nullptr) {
      acquired.slot.SetUse(slot_use::kNotSent);
      attempt_result unreachable;
      unreachable.cause = refusal_cause::kUnreachable;
      co_return unreachable;
    }
    // Opening the connection takes time, and this process may have been
    // suspended since it read the request.
    acquired.refused = CauseNotToStartNow(state, incoming);
    if (acquired.refused == refusal_cause::kNone) {
      acquired.refused = quarantine.CauseNotToStart();
    }
    if (acquired.refused == refusal_cause::kNone && !acquired.slot.TrySend()) {
      acquired.refused = refusal_cause::kCold;
    }
  }
  if (acquired.refused != refusal_cause::kNone) {
    acquired.slot.SetUse(slot_use::kNotSent);
    if (connection != nullptr) {
      worker.KeepBackendConnection(std::move(connection));
    }
    ++state.counters.owner_refused;
    if (acquired.refused == refusal_cause::kEvacuated) {
      ++state.counters.owner_refused_evacuated;
    }
    LogRefusal(state, incoming, acquired.refused);
    attempt_result refused = MakeRefusal(acquired.refused);
    refused.is_backend_leaving = IsStatedToLeave(state, incoming);
    refused.crash_reports = quarantine.ReportsText();
    co_return refused;
  }
  const time_point now = state.clock.Now();
  ++state.counters.owner_admitted;
  const request_fields& fields = state.settings.fields;
  if (state.statements.RateLimitOf(
          FieldOf(incoming.request.message, fields.expected_backend_server))) {
    ++state.counters.owner_admitted_limited;
  }
  PrepareForBackendServer(incoming.request.message, fields.backend_deadline,
                          incoming.deadline, now);
  if (state.warmth.IsCold()) {
    ++state.counters.owner_admitted_cold;
  }
  const time_point opened_at = connection->opened_at;
  const time_point alive_at = connection->idle_since;
  attempt_result result = co_await Exchange(
      connection, incoming.request, incoming.deadline, state.clock,
      {.id = fields.states_request_id ? request_id_rule::kRequiredAfterFirst
                                      : request_id_rule::kOptional,
       .may_end_with_connection = fields.may_end_with_connection},
      incoming.watch);
  RecordWarmth(state, incoming, result, opened_at, alive_at, now);
  RecordStatement(state, incoming, result, now);
  if (connection != nullptr) {
    worker.KeepBackendConnection(std::move(connection));
  }
  const bool has_reached_backend_server =
      result.outcome != attempt_outcome::kClosedBeforeFirstByte;
  ConvertRefusal(result, fields.not_run);
  CheckProofOfOrigin(result, fields.proof_of_origin);
  result.has_reached_backend_server = has_reached_backend_server;
  if (!result.answer) {
    result.is_backend_leaving = IsStatedToLeave(state, incoming);
  }
  co_await quarantine.RecordEnd(result);
  result.crash_reports = quarantine.ReportsText();
  if (!result.answer || IsServerError(result.answer->message)) {
    acquired.slot.SetUse(UseOfUnanswered(incoming, result));
  }
  if (result.answer) {
    RemoveHopByHopAndProjectFields(result.answer->message);
    if (result.answer->remaining_body != nullptr) {
      result.answer->slot = std::move(acquired.slot);
    }
  }
  co_return result;
}

}  // namespace wagtailmount::detail
