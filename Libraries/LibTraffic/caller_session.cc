#include <algorithm>

#include "LibLoad/retry.h"
#include "LibLoad/retry_after_delay.h"
#include "LibTraffic/answers.h"
#include "LibTraffic/caller_request.h"
#include "LibTraffic/entry.h"
#include "LibTraffic/header_fields.h"
#include "LibTraffic/held_answer.h"
#include "LibTraffic/request_log.h"
#include "LibTraffic/request_reading.h"
#include "LibTraffic/request_start.h"

namespace wagtailmount::detail {

namespace {

// How long a caller is assumed to wait when its route is not known.
constexpr std::chrono::seconds kDefaultCallerTimeout{2};

// Longer waiting times stated by callers are reduced to this. One hour is far
// above the timeout of any route.
constexpr std::uint64_t kMaximumCallerTimeoutMs = 3'600'000;

// One of this many requests that succeed at the first attempt is logged.
constexpr std::uint64_t kSuccessesPerLogLine = 64;

// Approximate memory of an answer that waits for its turn, besides its body.
constexpr std::size_t kHeldAnswerBytes = 1024;

void CountVerdict(shared_counters& counters, verdict proved) {
  switch (proved) {
    case verdict::kNotRun:
      ++counters.answered_not_run;
      break;
    case verdict::kMayHaveRun:
      ++counters.answered_may_have_run;
      break;
    case verdict::kRan:
      ++counters.answered_ran;
      break;
  }
}

// One request of a caller, from its header section to its answer.
class routed_request final : public caller_request {
 public:
  routed_request(traffic_worker& worker, caller_line& line)
      : worker_(worker),
        state_(worker.state),
        line_(line),
        caller_(line.connection),
        snapshot_(worker.state.snapshot.load()) {
    ConfigureParser(parser_, Limits());
  }

  void Join() override { ticket_ = line_.order.Add(); }
  line_ticket Ticket() const override { return ticket_; }

  bool ReadBehind() override {
    fault_ = ParseRequestHeader(caller_, parser_);
    if (fault_ || !parser_.is_done()) {
      return false;
    }
    ChooseRoute();
    const bool is_refused = state_.IsDraining() || chosen_ == nullptr;
    is_read_ahead_ =
        is_refused || IsIdempotent(chosen_->repeatable,
                                   ToStandard(parser_.get().method_string()));
    if (is_read_ahead_) {
      Join();
      AllowBehind();
      ++state_.counters.requests;
      ++state_.counters.pipelined_requests;
    }
    return is_read_ahead_;
  }

  task<next_step> Serve() override {
    if (!is_read_ahead_) {
      if (!fault_) {
        fault_ = co_await ReadRequestHeader(caller_, parser_, Limits());
      }
      ++state_.counters.requests;
      if (fault_) {
        co_return co_await RejectInvalidRequest(*fault_);
      }
      ChooseRoute();
    }
    if (state_.IsDraining()) {
      co_return co_await Refuse(verdict::kNotRun, refusal_cause::kDraining);
    }
    if (snapshot_ == nullptr) {
      co_return co_await Refuse(verdict::kNotRun,
                                refusal_cause::kNoConfiguration);
    }
    if (chosen_ == nullptr) {
      co_return co_await Refuse(verdict::kNotRun, refusal_cause::kNoRoute);
    }
    const next_step next = co_await Run(*snapshot_, *chosen_);
    co_return next;
  }

 private:
  // To be called once the header section is parsed.
  void ChooseRoute() {
    const http_request& head = parser_.get();
    is_head_ = head.method() == http::verb::head;
    id_ = FieldOf(head, kRequestIdField);
    if (id_.empty()) {
      id_ = MakeRequestId(worker_.random);
    }
    snapshot_ = state_.snapshot.load();
    if (snapshot_ == nullptr) {
      return;
    }
    chosen_ = snapshot_->Configuration().FindRoute(
        HostOf(ToStandard(head[http::field::host])),
        PathOf(ToStandard(head.target())), ToStandard(head.method_string()));
  }

  // Of a request that has arrived whole and may be repeated, or runs nothing.
  // An answer that breaks off takes along what was passed on behind it.
  void AllowBehind() {
    const bool may_break_off =
        chosen_ != nullptr && ExpectsLongAnswer(worker_, *chosen_);
    if (parser_.is_done() && parser_.keep_alive() && !may_break_off) {
      line_.order.AllowBehind(ticket_);
    }
  }

  request_limits Limits() const {
    return snapshot_ == nullptr ? request_limits{}
                                : snapshot_->Configuration().Limits();
  }

  task<next_step> Run(const routing_snapshot& snapshot, const route& chosen) {
    SetDeadlines(chosen);
    const service& target = ChooseTargetByWeight(chosen, worker_.random);
    outgoing_request request;
    const body_status read_status =
        co_await ReadRequestBody(caller_, parser_, deadline_, request);
    if (read_status != body_status::kComplete &&
        read_status != body_status::kMore) {
      co_return co_await RejectInvalidRequest(FaultOfBody(read_status));
    }
    RemoveHopByHopAndProjectFields(request.message);
    SetFraming(request, parser_);
    SetField(request.message, kRequestIdField, id_);
    const std::string_view caller_service =
        state_.settings.fields.caller_service;
    if (!caller_service.empty()) {
      SetField(request.message, caller_service,
               traffic_state::OwnService(state_.settings, snapshot));
    }
    if (chosen.headers != nullptr) {
      for (const header_field& field : chosen.headers->fields) {
        SetField(request.message, field.name, field.value);
      }
    }
    const bool is_idempotent = IsIdempotent(
        chosen.repeatable, ToStandard(request.message.method_string()));
    if (is_idempotent) {
      AllowBehind();
    }
    entry_result result = co_await ForwardRequest(
        worker_,
        entry_request{request, caller_, chosen, target, snapshot, deadline_,
                      ObjectiveOf(chosen), is_idempotent, line_});
    if (result.answer && result.answer->remaining_body != nullptr) {
      line_.order.ForbidBehind(ticket_);
    }
    if (!line_.order.Has(ticket_)) {
      co_return next_step::kCloseNow;
    }
    Record(chosen, target, result);
    if (!result.answer) {
      worker_.patience.RecordRefusal(state_.clock.Now(), chosen.name);
      co_return co_await Refuse(result.proved, result.cause);
    }
    if (!line_.order.IsFirst(ticket_)) {
      const bool is_whole = result.answer->remaining_body == nullptr;
      const time_point end =
          is_whole ? time_point::max() : result.answer->rest_by;
      const turn ended = co_await line_.WaitForTurn(
          ticket_, kHeldAnswerBytes + result.answer->body.size(), end);
      if (ended == turn::kExpired) {
        // Gives back what the rest of the answer holds.
        result.answer.reset();
        co_return co_await Refuse(verdict::kMayHaveRun,
                                  refusal_cause::kDeadline);
      }
      if (ended == turn::kCancelled) {
        co_return next_step::kCloseNow;
      }
    }
    const refusal_cause broken_off =
        co_await HoldBeforeOthers(worker_, line_, ticket_, *result.answer);
    if (broken_off != refusal_cause::kNone) {
      result.answer.reset();
      co_return co_await Refuse(verdict::kMayHaveRun, broken_off);
    }
    CountVerdict(state_.counters, verdict::kRan);
    const bool is_kept_alive = CanKeepAlive();
    FinishAnswer(*result.answer, id_, is_head_, is_kept_alive);
    const answer_guard writing{worker_, caller_};
    const bool is_written = co_await WriteAnswer(caller_, *result.answer);
    if (!is_written) {
      co_return Cut(CauseOfCut(caller_, *result.answer, state_.clock.Now()));
    }
    if (result.answer->suspect) {
      state_.quarantine.RecordAnswer(*result.answer->suspect);
    }
    co_return is_kept_alive ? next_step::kKeepAlive
                            : next_step::kLingeringClose;
  }

  // Ends the connection without a whole answer. The log drops lines under load,
  // the counters don't.
  next_step Cut(cut_cause cause) {
    state_.counters.requests_cut.Add(cause);
    if (state_.log != nullptr && cause != cut_cause::kCallerLeft) {
      log_line line{"request-cut"};
      line.Text("id", id_).Text("cause", NameOf(cause));
      state_.log->Add(std::move(line));
    }
    return next_step::kCloseNow;
  }

  // Whether another request may follow on the connection.
  bool CanKeepAlive() {
    const bool can_keep_alive = parser_.is_done() && parser_.keep_alive();
    if (can_keep_alive && line_.order.HasBehind(ticket_)) {
      // What was read is answered.
      return true;
    }
    if (!can_keep_alive || state_.is_leaving || state_.is_stopping) {
      line_.order.EndReading();
      return false;
    }
    if (state_.IsCrowded()) {
      line_.order.EndReading();
      ++state_.counters.closed_crowded;
      return false;
    }
    return true;
  }

  void Record(const route& chosen, const service& target,
              const entry_result& result) {
    const time_point now = state_.clock.Now();
    const bool is_failed =
        !result.answer || IsServerError(result.answer->message);
    state_.statistics.Add(now, target, is_failed, now - begin_);
    state_.decisions.Add({id_, chosen.name, target.name,
                          std::string{result.upstream}, result.why,
                          result.attempts, result.proved, result.cause});
    Log(chosen, target, result, now);
  }

  // Logs a sample of the requests that succeed at the first attempt, and all
  // others.
  void Log(const route& chosen, const service& target,
           const entry_result& result, time_point now) {
    const bool is_first_attempt_success =
        result.answer && result.attempts == 1 &&
        !IsServerError(result.answer->message);
    if (state_.log == nullptr ||
        (is_first_attempt_success &&
         worker_.random.Below(kSuccessesPerLogLine) != 0)) {
      return;
    }
    LogRequestEnd(*state_.log,
                  {.id = id_,
                   .chosen_route = chosen,
                   .target = target,
                   .result = result,
                   .taken = now - begin_,
                   .objective_left = objective_ - now,
                   .version = snapshot_->Configuration().Version().revision});
  }

  task<next_step> Refuse(verdict proved, refusal_cause cause) {
    if (!line_.order.IsFirst(ticket_)) {
      const turn ended = co_await line_.WaitForTurn(ticket_, kHeldAnswerBytes,
                                                    time_point::max());
      if (ended != turn::kCome) {
        co_return next_step::kCloseNow;
      }
    }
    CountVerdict(state_.counters, proved);
    if (cause == refusal_cause::kQuarantined) {
      ++state_.counters.refused_quarantined;
    }
    const bool is_kept_alive =
        CanKeepAlive() && cause != refusal_cause::kBodyLost;
    refusal_answer refusal;
    refusal.status = StatusOf(cause, proved);
    refusal.proved = proved;
    refusal.reason = NameOf(cause);
    refusal.request_id = id_;
    refusal.is_kept_alive = is_kept_alive;
    refusal.is_head = is_head_;
    if (IsCallerRetryUseful(cause) && proved == verdict::kNotRun) {
      refusal.retry_after = RetryAfter(cause);
    }
    const bool is_written = co_await WriteRefusal(caller_, refusal);
    if (!is_written) {
      co_return Cut(CauseOfCut(caller_));
    }
    co_return is_kept_alive ? next_step::kKeepAlive
                            : next_step::kLingeringClose;
  }

  // Sets deadlines and objective by the route and by how long the caller states
  // that it will wait.
  void SetDeadlines(const route& chosen) {
    using std::chrono::milliseconds;
    begin_ = state_.clock.Now();
    caller_deadline_ = begin_ + chosen.deadline;
    deadline_ = std::min(caller_deadline_, state_.answer_by.load());
    objective_ = begin_ + chosen.latency_objective;
    const auto stated_ms = ParseMilliseconds(
        FieldOf(parser_.get(), state_.settings.fields.caller_deadline));
    if (!stated_ms) {
      return;
    }
    const milliseconds caller_timeout{
        std::min(*stated_ms, kMaximumCallerTimeoutMs)};
    caller_deadline_ = begin_ + caller_timeout;
    deadline_ = std::min(deadline_, caller_deadline_);
    objective_ -=
        worker_.patience.EstimateWait(begin_, chosen.name, caller_timeout);
  }

  time_point ObjectiveOf(const route& chosen) const {
    const bool has_objective =
        chosen.latency_objective > std::chrono::milliseconds::zero();
    return has_objective ? objective_ : time_point{};
  }

  std::chrono::milliseconds RetryAfter(refusal_cause cause) {
    const time_point now = state_.clock.Now();
    if (deadline_ == time_point{}) {
      // Refused before its route was known.
      return RetryAfterDelay(kDefaultCallerTimeout, worker_.random);
    }
    const duration left = caller_deadline_ - now;
    return cause == refusal_cause::kShed
               ? EarlyRetryAfterDelay(left, objective_ - now, worker_.random)
               : RetryAfterDelay(left, worker_.random);
  }

  task<next_step> RejectInvalidRequest(request_read_fault read_fault) {
    if (!read_fault.is_answerable) {
      co_return Cut(cut_cause::kRequestLost);
    }
    ++state_.counters.bad_requests;
    CountVerdict(state_.counters, verdict::kNotRun);
    refusal_answer refusal;
    refusal.status = read_fault.fault.status;
    refusal.reason = read_fault.fault.reason;
    refusal.is_kept_alive = false;
    refusal.is_head = is_head_;
    const bool is_written = co_await WriteRefusal(caller_, refusal);
    co_return is_written ? next_step::kLingeringClose
                         : Cut(CauseOfCut(caller_));
  }

  traffic_worker& worker_;
  traffic_state& state_;
  caller_line& line_;
  http_connection& caller_;
  line_ticket ticket_ = 0;
  std::shared_ptr<const routing_snapshot> snapshot_;
  http_request_parser parser_;
  std::optional<request_read_fault> fault_;
  const route* chosen_ = nullptr;  ///< Null if none is known for the request.
  bool is_read_ahead_ = false;     ///< Served beside others of its connection.
  std::string id_;
  time_point begin_{};
  time_point deadline_{};         ///< Zero until the route is known.
  time_point caller_deadline_{};  ///< Until then the caller may retry.
  time_point objective_{};        ///< End of the latency objective.
  bool is_head_ = false;
};

}  // namespace

std::unique_ptr<caller_request> caller_request::Make(traffic_worker& worker,
                                                     caller_line& line) {
  return std::make_unique<routed_request>(worker, line);
}

}  // namespace wagtailmount::detail
