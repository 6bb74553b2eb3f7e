#include "LibTraffic/owner_call.h"

#include <algorithm>
#include <string>

#include "LibLoad/backend_statement.h"
#include "LibLoad/load_text.h"
#include "LibTraffic/body_go_ahead.h"
#include "LibTraffic/header_fields.h"
#include "LibTraffic/hop_text.h"
#include "LibTraffic/quarantine_check.h"

namespace wagtailmount::detail {

namespace {

// The deadline sent to an owner is earlier by this margin, at most a tenth of
// the time left, so that the owner's refusal arrives before this node gives up.
constexpr std::chrono::milliseconds kOwnerDeadlineMargin{10};
constexpr int kOwnerDeadlineMarginDivisor = 10;
constexpr std::chrono::milliseconds kMaximumHopIdle{30'000};

time_point OwnerDeadline(time_point deadline, time_point now) {
  const duration share = (deadline - now) / kOwnerDeadlineMarginDivisor;
  return deadline - std::min<duration>(kOwnerDeadlineMargin, share);
}

void PrepareForOwner(http_request& message, const upstream& owner,
                     const entry_request& incoming, std::uint32_t attempt,
                     time_point now, const peer_clock& owner_clock) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const time_point deadline = OwnerDeadline(incoming.deadline, now);
  if (const auto stated = owner_clock.PeerTimeAt(deadline)) {
    SetField(message, kOwnerDeadlineField, std::to_string(stated->count()));
  } else {
    message.erase(ToBoost(kOwnerDeadlineField));
  }
  hop_parameters parameters{
      .vm = owner.vm,
      .service = incoming.target.name,
      .time_left = duration_cast<milliseconds>(deadline - now),
      .rank = incoming.chosen_route.priority,
      .attempt = attempt,
      .objective_left = std::nullopt};
  if (incoming.objective != time_point{}) {
    parameters.objective_left =
        duration_cast<milliseconds>(incoming.objective - now);
  }
  SetField(message, kHopField, FormatHopParameters(parameters));
  SetField(message, kKindField,
           std::to_string(KindOf(incoming.chosen_route.name)));
}

// The owner may have been restarted since, and know of no limit.
void SetKnownRateLimit(http_request& message, const traffic_state& state,
                       const upstream& owner) {
  const std::string& id = owner.backend_server_id;
  const auto limit =
      id.empty() ? std::nullopt : state.statements.RateLimitOf(id);
  if (limit) {
    SetField(message, kRateLimitField, FormatRateLimit(*limit));
  } else {
    message.erase(ToBoost(kRateLimitField));
  }
}

void SetKnownCrashes(outgoing_request& request, const traffic_state& state) {
  const std::string known = CrashReportsText(state, request);
  if (known.empty()) {
    request.message.erase(ToBoost(kCrashesField));
  } else {
    SetField(request.message, kCrashesField, known);
  }
}

// Extracts the owner's verdict and reported load from its answer.
void ExtractVerdictAndLoad(attempt_result& result) {
  if (!result.answer) {
    return;
  }
  result.load = ParseLoad(FieldOf(result.answer->message, kLoadField));
  const std::string_view verdict_text =
      FieldOf(result.answer->message, kVerdictField);
  if (verdict_text == NameOf(verdict::kRan)) {
    RemoveHopByHopAndProjectFields(result.answer->message);
    return;
  }
  result.cause = CauseOf(FieldOf(result.answer->message, kReasonField));
  result.has_reached_backend_server =
      !FieldOf(result.answer->message, kArrivedField).empty();
  result.is_backend_leaving =
      IsFlagSet(FieldOf(result.answer->message, kBackendLeavingField));
  if (verdict_text == NameOf(verdict::kNotRun)) {
    result.outcome = attempt_outcome::kRefusedNotRun;
  } else if (verdict_text == NameOf(verdict::kMayHaveRun)) {
    result.outcome = attempt_outcome::kRefusedMayHaveRun;
  } else {
    result.outcome = attempt_outcome::kAnswerMalformed;
  }
  result.answer.reset();
}

// What an owner says of a request that this node has called off by closing the
// sending side of its connection.
void ConvertCalledOff(attempt_result& result) {
  const bool is_not_run = result.outcome == attempt_outcome::kRefusedNotRun &&
                          result.cause == refusal_cause::kAbandoned;
  if (is_not_run) {
    result.cause = refusal_cause::kDraining;
  } else if (result.outcome == attempt_outcome::kRefusedMayHaveRun) {
    result.outcome = attempt_outcome::kNoAnswerInTime;
  }
}

// A request that is withdrawn at the end of this process, which is its deadline
// then, is called off before its connection is given up.
duration VerdictWait(const traffic_state& state,
                     const entry_request& incoming) {
  return incoming.deadline == state.answer_by.load() ? state.verdict_wait.load()
                                                     : duration::zero();
}

// Whether the owner may be cut off, or its connections silent.
bool IsUnanswered(attempt_outcome outcome) {
  return outcome == attempt_outcome::kLostWhileWriting ||
         outcome == attempt_outcome::kLostAfterWriting ||
         outcome == attempt_outcome::kNoAnswerInTime;
}

// Must be called before the project's fields are removed from the answer.
void RecordOwnerClock(peer_clock& clock, const attempt_result& result,
                      time_point now) {
  if (!result.answer) {
    return;
  }
  if (const auto stated =
          ParseNumber(FieldOf(result.answer->message, kClockField))) {
    clock.Record(now, std::chrono::milliseconds{*stated});
  }
}

}  // namespace

task<attempt_result> RunAtOwner(traffic_worker& worker,
                                const entry_request& incoming,
                                const upstream& owner, std::uint32_t attempt,
                                disconnect_watcher& watch) {
  const runtime_clock& clock = worker.state.clock;
  std::unique_ptr<http_connection> connection =
      worker.pool.Take(owner.hop, clock.Now(), kMaximumHopIdle);
  if (connection == nullptr) {
    const duration connect_timeout =
        std::min<duration>(kConnectTimeout, incoming.deadline - clock.Now());
    connection = co_await Connect(owner.hop, connect_timeout);
  }
  attempt_result result;
  if (connection == nullptr) {
    co_return result;
  }
  const time_point begin = clock.Now();
  PrepareForOwner(incoming.request.message, owner, incoming, attempt, begin,
                  worker.pool.ClockOf(owner.hop));
  SetKnownRateLimit(incoming.request.message, worker.state, owner);
  SetKnownCrashes(incoming.request, worker.state);
  result =
      co_await Exchange(connection, incoming.request, incoming.deadline, clock,
                        {.id = request_id_rule::kRequired,
                         .is_body_announced = IsBodyAnnounced(incoming.request),
                         .is_other_node = true,
                         .verdict_wait = VerdictWait(worker.state, incoming)},
                        watch);
  RecordOwnerClock(worker.pool.ClockOf(owner.hop), result, clock.Now());
  if (connection != nullptr) {
    worker.pool.Keep(owner.hop, std::move(connection), clock.Now());
  } else if (IsUnanswered(result.outcome) && !watch.IsCancelled()) {
    worker.pool.CloseIdleSince(owner.hop, begin);
  }
  worker.pool.CloseUnused(clock.Now(), kMaximumHopIdle,
                          worker.state.settings.backend_server);
  if (result.answer) {
    MergeCrashReports(worker.state, incoming.request,
                      FieldOf(result.answer->message, kCrashesField));
  }
  ExtractVerdictAndLoad(result);
  if (watch.IsWithdrawn()) {
    ConvertCalledOff(result);
  }
  co_return result;
}

}  // namespace wagtailmount::detail
