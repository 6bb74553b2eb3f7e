#include "LibTraffic/entry.h"

#include <algorithm>
#include <string>
#include <vector>

#include "LibLoad/retry.h"
#include "LibLoad/trial_upstream.h"
#include "LibTraffic/header_fields.h"
#include "LibTraffic/owner.h"
#include "LibTraffic/owner_call.h"

namespace wagtailmount::detail {

namespace {

// The maximum reported wait of an owner that has a free slot or is about to
// have one.
constexpr std::chrono::milliseconds kMaximumWaitOfLateRequest{10};
// How many owners are tried for one request. A refusal by an owner costs
// little, but takes time that the request could spend in another owner's queue.
constexpr std::uint32_t kMaximumOwnersTried = 4;
// Approximate total size of the header sections of a request and its answer
// between two nodes, with the fields that the users' callers send.
constexpr std::size_t kHopHeaderBytes = 600;

attempt_signal SignOfRefusal(refusal_cause cause) {
  switch (cause) {
    case refusal_cause::kQueueFull:
    case refusal_cause::kOverloaded:
    case refusal_cause::kCold:
    case refusal_cause::kShed:
    case refusal_cause::kNoConfiguration:
    case refusal_cause::kEvacuated:
    case refusal_cause::kTooLate:
      return attempt_signal::kOwnerRefused;
    case refusal_cause::kAbandoned:
    case refusal_cause::kQuarantined:
      return attempt_signal::kInconclusive;
    case refusal_cause::kDraining:
      return attempt_signal::kOwnerDrains;
    case refusal_cause::kUnreachable:
      return attempt_signal::kUnreachable;
    default:
      return attempt_signal::kBad;
  }
}

// What an attempt shows about its upstream. A refusal for lack of capacity or
// time, or by a leaving owner, does not mean that it is unhealthy.
attempt_signal SignOf(const attempt_result& ended) {
  switch (ended.outcome) {
    case attempt_outcome::kAnswered:
      return IsServerError(ended.answer->message) ? attempt_signal::kBad
                                                  : attempt_signal::kGood;
    case attempt_outcome::kRefusedNotRun:
      return ended.has_reached_backend_server ? attempt_signal::kShed
                                              : SignOfRefusal(ended.cause);
    case attempt_outcome::kBodyLost:
      return attempt_signal::kInconclusive;
    case attempt_outcome::kConnectFailed:
      return attempt_signal::kUnreachable;
    default:
      return attempt_signal::kBad;
  }
}

// Forwards one request, over all its attempts.
class request_forwarder {
 public:
  request_forwarder(traffic_worker& worker, entry_request& incoming)
      : worker_(worker),
        state_(worker.state),
        incoming_(incoming),
        target_(incoming.target),
        kind_(KindOf(incoming.chosen_route.name)),
        service_state_(worker.ServiceStateOf(target_.name)),
        upstreams_(incoming.snapshot.UpstreamsOf(target_.name)),
        watch_(incoming.caller, incoming.watch),
        served_(worker, watch_) {
    tried_.reserve(incoming.chosen_route.retry->attempts + 1);
    if (state_.IsLeaving()) {
      ExcludeOwnUpstream();
    }
  }

  task<entry_result> Run() {
    watch_.Start();
    const fleet_retry_limits& limits = state_.settings.retries;
    if (limits.share > 0.0 && incoming_.snapshot.Own()) {
      service_state_.budget.SetLimits(limits,
                                      incoming_.snapshot.Own()->fleet_size);
    }
    service_state_.budget.Earn(incoming_.chosen_route.retry->budget_share);
    entry_result result;
    // It may have lain unread for a while.
    if (watch_.HasClientDisconnected()) {
      result.cause = refusal_cause::kAbandoned;
      co_return result;
    }
    result.cause = AreAllEvacuated() ? refusal_cause::kEvacuated
                                     : refusal_cause::kNoUpstream;
    while (const auto choice = NextChoice(result)) {
      result.upstream = choice->chosen->vm;
      result.why = choice->why;
      ++result.attempts;
      const bool may_try_again = co_await Attempt(*choice->chosen, result);
      if (!may_try_again || !incoming_.request.CanResend()) {
        break;
      }
      if (watch_.HasClientDisconnected()) {
        result.cause = refusal_cause::kAbandoned;
        break;
      }
    }
    co_return result;
  }

 private:
  // The snapshot in force may not show yet that this VM is leaving.
  void ExcludeOwnUpstream() {
    for (const upstream& candidate : upstreams_) {
      if (candidate.vm == state_.settings.vm) {
        tried_.push_back(&candidate);
      }
    }
  }

  // An owner knows of an evacuation that the snapshot doesn't show yet.
  void ExcludeFailureDomain(const std::string& failure_domain) {
    for (const upstream& candidate : upstreams_) {
      if (candidate.failure_domain == failure_domain) {
        tried_.push_back(&candidate);
      }
    }
  }

  // Whether requests could be sent only where nothing may start.
  bool AreAllEvacuated() const {
    return !upstreams_.empty() &&
           std::all_of(upstreams_.begin(), upstreams_.end(),
                       [](const upstream& each) { return each.is_evacuated; });
  }

  // The upstream for the next attempt; nothing when there is to be no other.
  std::optional<upstream_choice> NextChoice(entry_result& result) {
    const time_point now = state_.clock.Now();
    // The process may have been told to stop since the last attempt.
    incoming_.deadline = std::min(incoming_.deadline, state_.answer_by.load());
    if (now >= incoming_.deadline) {
      result.cause = result.attempts == 0 ? refusal_cause::kTooLate
                                          : refusal_cause::kDeadline;
      return std::nullopt;
    }
    if (backend_arrivals_ >= incoming_.chosen_route.retry->attempts ||
        result.attempts >= kMaximumOwnersTried) {
      return std::nullopt;
    }
    const auto suspect = state_.quarantine.SuspectOf(incoming_.request);
    const request_standing standing =
        suspect ? state_.quarantine.StandingOf(*suspect)
                : request_standing::kAllowed;
    if (standing != request_standing::kAllowed) {
      auto trial = standing == request_standing::kTrialDue
                       ? ChooseForTrial(*suspect)
                       : std::nullopt;
      if (!trial && !result.answer) {
        result.cause = refusal_cause::kQuarantined;
      }
      return trial;
    }
    const arriving_request arriving{incoming_.deadline,
                                    incoming_.chosen_route.priority,
                                    incoming_.objective, kind_};
    // A request that will miss its latency objective is queued behind all
    // others; another failure domain gets it only where a slot is free.
    const duration longest_wait =
        IsLate(now, arriving, duration::zero())
            ? kMaximumWaitOfLateRequest
            : LongestWait(now, arriving, duration::zero());
    const placement_criteria wish{arriving.rank, longest_wait,
                                  incoming_.objective - now, ExpectedBytes(),
                                  kind_};
    auto choice = Choose(now, wish);
    // The platform may tell a leaving late, or not at all to a node that it
    // can't reach.
    while (choice && IsStatedToLeave(*choice->chosen)) {
      tried_.push_back(choice->chosen);
      choice = Choose(now, wish);
    }
    if (!choice && service_state_.chooser.AreAllFull()) {
      LogAllOwnersFull(now, wish, result);
      if (result.attempts == 0) {
        result.cause = refusal_cause::kOverloaded;
      }
    }
    const bool is_retry = backend_arrivals_ > 0;
    if (!choice || !is_retry) {
      return choice;
    }
    if (!service_state_.budget.TrySpend()) {
      ++state_.counters.retries_over_budget;
      return std::nullopt;
    }
    ++state_.counters.retries;
    return choice;
  }

  std::optional<upstream_choice> Choose(time_point now,
                                        const placement_criteria& wish) {
    return service_state_.chooser.Choose(now, upstreams_, tried_,
                                         target_.limits.slow_start,
                                         worker_.random, wish);
  }

  // The upstream for the trial of a request in quarantine; nothing if it has
  // been tried.
  std::optional<upstream_choice> ChooseForTrial(
      const request_fingerprint& suspect) const {
    const upstream* const chosen = TrialUpstream(upstreams_, suspect);
    if (chosen == nullptr || !tried_.empty() || IsStatedToLeave(*chosen)) {
      return std::nullopt;
    }
    return upstream_choice{chosen, choice_reason::kNear};
  }

  // Whether this node passed on an answer in which the backend server states
  // that it leaves, or was told so by its owner.
  bool IsStatedToLeave(const upstream& candidate) const {
    return state_.statements.LeavingSince(candidate.backend_server_id) !=
           time_point{};
  }

  void RecordStatement(const upstream& chosen, const attempt_result& ended,
                       time_point asked_at) {
    // Without an id, it could not be told from this VM's own backend server.
    if (chosen.backend_server_id.empty()) {
      return;
    }
    backend_statement statement;
    statement.is_leaving = ended.is_backend_leaving;
    if (ended.answer) {
      statement = ReadStatement(ended.answer->message, state_.settings.fields)
                      .value_or(backend_statement{});
    }
    state_.statements.Record(asked_at, chosen.backend_server_id, statement);
  }

  // Bytes that one more attempt would transfer to another node and back.
  std::size_t ExpectedBytes() const {
    return kHopHeaderBytes + incoming_.request.body.size() +
           service_state_.sizes.ExpectedAnswerBytes(
               incoming_.chosen_route.name);
  }

  // Makes one attempt; false when no other may follow.
  task<bool> Attempt(const upstream& chosen, entry_result& result) {
    tried_.push_back(&chosen);
    ++state_.counters.attempts;
    const time_point begin = state_.clock.Now();
    service_state_.chooser.Begin(chosen.vm);
    const std::string_view id_field =
        state_.settings.fields.expected_backend_server;
    if (!id_field.empty()) {
      SetField(incoming_.request.message, id_field, chosen.backend_server_id);
    }
    attempt_result ended;
    if (chosen.vm == state_.settings.vm) {
      ended = co_await RunAtBackendServer(
          worker_, owner_request{incoming_.request, watch_, incoming_.deadline,
                                 incoming_.chosen_route.priority,
                                 incoming_.objective, kind_, std::nullopt});
      ended.load = state_.gate.Load(incoming_.chosen_route.priority, kind_);
      ended.load->held = state_.clock.Now() - begin;
    } else {
      ended = co_await RunAtOwner(worker_, incoming_, chosen, result.attempts,
                                  watch_);
    }
    const time_point end = state_.clock.Now();
    // What this node broke off itself shows nothing about the upstream.
    const bool is_broken_off =
        !ended.answer && (watch_.IsCancelled() || watch_.IsWithdrawn());
    const attempt_signal sign =
        is_broken_off ? attempt_signal::kInconclusive : SignOf(ended);
    service_state_.chooser.End(end, chosen.vm, sign, end - begin);
    RecordStatement(chosen, ended, begin);
    if (ended.cause == refusal_cause::kEvacuated) {
      ExcludeFailureDomain(chosen.failure_domain);
    }
    if (ended.load) {
      service_state_.chooser.RecordReportedLoad(
          end, chosen.vm,
          {incoming_.chosen_route.priority, ended.load->wait,
           ended.load->service, ended.load->slots,
           end - begin - ended.load->held, kind_});
    }
    if (!ended.answer || IsServerError(ended.answer->message)) {
      LogAttempt(chosen, result, ended, end - begin);
    }
    backend_arrivals_ += MayHaveReachedBackendServer(ended) ? 1 : 0;
    const attempt_classification judged =
        ClassifyAttempt(ended.outcome, ended.cause, incoming_.is_idempotent);
    result.proved = Combine(result.proved, judged.proved);
    if (!ended.answer) {
      // Keeps the answer of an earlier attempt, if there is one.
      result.cause = result.answer ? refusal_cause::kNone : judged.cause;
      co_return judged.may_try_again && !watch_.IsWithdrawn();
    }
    service_state_.sizes.Learn(incoming_.chosen_route.name,
                               ended.answer->body.size());
    const bool may_be_better = incoming_.is_idempotent &&
                               IsServerError(ended.answer->message) &&
                               ended.answer->remaining_body == nullptr;
    result.cause = judged.cause;
    result.answer = std::move(ended.answer);
    co_return may_be_better;
  }

  // Logged by the entry node: no owner receives the request, so none logs a
  // refusal.
  void LogAllOwnersFull(time_point now, const placement_criteria& wish,
                        const entry_result& result) const {
    const auto least = service_state_.chooser.LeastReportedWait(now);
    if (state_.log == nullptr || !least) {
      return;
    }
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto count = [](duration time) {
      return duration_cast<milliseconds>(time).count();
    };
    log_line line{"all-owners-full"};
    line.Text("id", FieldOf(incoming_.request.message, kRequestIdField))
        .Number("attempts", result.attempts)
        .Number("rank", static_cast<std::int64_t>(wish.rank))
        .Number("least_wait_ms", count(least->wait))
        .Number("service_ms", count(least->service))
        .Number("told_age_ms", count(least->age))
        .Number("objective_left_ms", count(wish.objective_left));
    state_.log->Add(std::move(line));
  }

  void LogAttempt(const upstream& chosen, const entry_result& result,
                  const attempt_result& ended, duration taken) const {
    if (state_.log == nullptr) {
      return;
    }
    log_line line{"attempt-failed"};
    line.Text("id", FieldOf(incoming_.request.message, kRequestIdField))
        .Number("attempt", result.attempts)
        .Text("upstream", chosen.vm)
        .Text("backend_server", chosen.backend_server_id)
        .Text("outcome", NameOf(ended.outcome))
        .Text("cause", NameOf(ended.cause))
        .Flag("has_arrived", MayHaveReachedBackendServer(ended))
        .Number("status", ended.answer ? static_cast<std::int64_t>(
                                             ended.answer->message.result_int())
                                       : 0)
        .Number("taken_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(taken)
                    .count());
    state_.log->Add(std::move(line));
  }

  // Whether a backend server may have begun to read the request, so that
  // another attempt would be a retry.
  static bool MayHaveReachedBackendServer(const attempt_result& ended) {
    return ended.has_reached_backend_server ||
           (ended.outcome != attempt_outcome::kRefusedNotRun &&
            ended.outcome != attempt_outcome::kConnectFailed &&
            ended.outcome != attempt_outcome::kClosedBeforeFirstByte);
  }

  traffic_worker& worker_;
  traffic_state& state_;
  entry_request& incoming_;
  const service& target_;
  const request_kind kind_;
  service_state& service_state_;
  std::span<const upstream> upstreams_;
  std::vector<const upstream*> tried_;
  std::uint32_t backend_arrivals_ = 0;
  disconnect_watcher watch_;
  served_request_guard served_;
};

}  // namespace

task<entry_result> ForwardRequest(traffic_worker& worker,
                                  entry_request incoming) {
  request_forwarder forwarder{worker, incoming};
  entry_result result = co_await forwarder.Run();
  co_return result;
}

}  // namespace wagtailmount::detail
