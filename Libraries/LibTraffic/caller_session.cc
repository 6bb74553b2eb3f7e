#include <algorithm>

#include "LibLoad/retry.h"
#include "LibLoad/retry_after_delay.h"
#include "LibTraffic/answers.h"
#include "LibTraffic/entry.h"
#include "LibTraffic/header_fields.h"
#include "LibTraffic/request_reading.h"
#include "LibTraffic/sessions.h"

namespace wagtailmount::detail {

namespace {

// How long a caller is assumed to wait when its route is not known.
constexpr std::chrono::seconds kDefaultCallerTimeout{2};

// Longer waiting times stated by callers are reduced to this. One hour is far
// above the timeout of any route.
constexpr std::uint64_t kMaximumCallerTimeoutMs = 3'600'000;

// One of this many requests that succeed at the first attempt is logged.
constexpr std::uint64_t kSuccessesPerLogLine = 64;

// What happens to a connection after one request.
enum class next_step : std::uint8_t { kKeepAlive, kLingeringClose, kCloseNow };

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

std::string MakeRequestId(traffic_worker& worker) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr std::size_t kDigitCount = 16;
  std::uint64_t bits = worker.random.Below(~std::uint64_t{0});
  std::string id(kDigitCount, '0');
  for (char& digit : id) {
    digit = kDigits[bits % kDigits.size()];
    bits /= kDigits.size();
  }
  return id;
}

// Draws the target service from a route's traffic split by weight.
const service& ChooseTargetByWeight(const route& chosen,
                                    random_source& random) {
  std::uint64_t total_weight = 0;
  for (const route_part& part : chosen.parts) {
    total_weight += part.weight;
  }
  std::uint64_t remaining_weight = random.Below(total_weight);
  for (const route_part& part : chosen.parts) {
    if (remaining_weight < part.weight) {
      return *part.target;
    }
    remaining_weight -= part.weight;
  }
  return *chosen.target;
}

// One request of a caller, from its header section to its answer.
class caller_request {
 public:
  caller_request(traffic_worker& worker, http_connection& caller)
      : worker_(worker),
        state_(worker.state),
        caller_(caller),
        snapshot_(worker.state.snapshot.load()) {
    ConfigureParser(parser_, Limits());
  }

  task<next_step> Serve() {
    const auto fault = co_await ReadRequestHeader(caller_, parser_, Limits());
    ++state_.counters.requests;
    if (fault) {
      co_return co_await RejectInvalidRequest(*fault);
    }
    const http_request& head = parser_.get();
    is_head_ = head.method() == http::verb::head;
    id_ = FieldOf(head, kRequestIdField);
    if (id_.empty()) {
      id_ = MakeRequestId(worker_);
    }
    snapshot_ = state_.snapshot.load();
    if (state_.is_draining) {
      co_return co_await Refuse(verdict::kNotRun, refusal_cause::kDraining);
    }
    if (snapshot_ == nullptr) {
      co_return co_await Refuse(verdict::kNotRun,
                                refusal_cause::kNoConfiguration);
    }
    const route* const chosen = snapshot_->Configuration().FindRoute(
        HostOf(ToStandard(head[http::field::host])),
        PathOf(ToStandard(head.target())), ToStandard(head.method_string()));
    if (chosen == nullptr) {
      co_return co_await Refuse(verdict::kNotRun, refusal_cause::kNoRoute);
    }
    const next_step next = co_await Run(*snapshot_, *chosen);
    co_return next;
  }

 private:
  request_limits Limits() const {
    return snapshot_ == nullptr ? request_limits{}
                                : snapshot_->Configuration().Limits();
  }

  task<next_step> Run(const routing_snapshot& snapshot, const route& chosen) {
    SetDeadlines(chosen);
    const service& target = ChooseTargetByWeight(chosen, worker_.random);
    outgoing_request request;
    const body_status read_status =
        co_await ReadRequestBody(caller_, parser_, request);
    if (read_status == body_status::kLost ||
        read_status == body_status::kInvalid) {
      co_return co_await RejectBody(read_status);
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
    entry_result result = co_await ForwardRequest(
        worker_, entry_request{request, caller_, chosen, target, snapshot,
                               deadline_, ObjectiveOf(chosen), is_idempotent});
    Record(chosen, target, result);
    if (!result.answer) {
      worker_.patience.RecordRefusal(state_.clock.Now(), chosen.name);
      co_return co_await Refuse(result.proved, result.cause);
    }
    CountVerdict(state_.counters, verdict::kRan);
    const bool is_kept_alive = CanKeepAlive();
    FinishAnswer(*result.answer, id_, is_head_, is_kept_alive);
    const bool is_written = co_await WriteAnswer(caller_, *result.answer);
    if (!is_written) {
      co_return next_step::kCloseNow;
    }
    if (result.answer->suspect) {
      state_.quarantine.RecordAnswer(*result.answer->suspect);
    }
    co_return is_kept_alive ? next_step::kKeepAlive
                            : next_step::kLingeringClose;
  }

  // Whether another request may follow on the connection.
  bool CanKeepAlive() {
    const bool can_keep_alive = parser_.is_done() && parser_.keep_alive() &&
                                !state_.is_leaving && !state_.is_stopping;
    if (can_keep_alive && state_.IsCrowded()) {
      ++state_.counters.closed_crowded;
      return false;
    }
    return can_keep_alive;
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
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    log_line line{"request-ended"};
    line.Text("id", id_)
        .Text("route", chosen.name)
        .Text("service", target.name)
        .Text("upstream", result.upstream)
        .Text("chosen_as", NameOf(result.why))
        .Number("attempts", result.attempts)
        .Text("verdict", NameOf(result.proved))
        .Text("cause", NameOf(result.cause))
        .Number("status", result.answer
                              ? static_cast<std::int64_t>(
                                    result.answer->message.result_int())
                              : StatusOf(result.cause, result.proved))
        .Number("taken_ms", duration_cast<milliseconds>(now - begin_).count())
        .Number("objective_left_ms",
                duration_cast<milliseconds>(objective_ - now).count())
        .Number("version", static_cast<std::int64_t>(
                               snapshot_->Configuration().Version().revision));
    state_.log->Add(std::move(line));
  }

  task<next_step> Refuse(verdict proved, refusal_cause cause) {
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
      co_return next_step::kCloseNow;
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
    const auto stated_ms = ParseNumber(
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
      co_return next_step::kCloseNow;
    }
    ++state_.counters.bad_requests;
    CountVerdict(state_.counters, verdict::kNotRun);
    refusal_answer refusal;
    refusal.status = read_fault.fault.status;
    refusal.reason = read_fault.fault.reason;
    refusal.is_kept_alive = false;
    refusal.is_head = is_head_;
    const bool is_written = co_await WriteRefusal(caller_, refusal);
    co_return is_written ? next_step::kLingeringClose : next_step::kCloseNow;
  }

  task<next_step> RejectBody(body_status read_status) {
    const bool is_malformed_body = read_status == body_status::kInvalid;
    const request_fault fault{400, is_malformed_body
                                       ? std::string_view{"malformed-body"}
                                       : std::string_view{"body-lost"}};
    co_return co_await RejectInvalidRequest({is_malformed_body, fault});
  }

  traffic_worker& worker_;
  traffic_state& state_;
  http_connection& caller_;
  std::shared_ptr<const routing_snapshot> snapshot_;
  http_request_parser parser_;
  std::string id_;
  time_point begin_{};
  time_point deadline_{};         ///< Zero until the route is known.
  time_point caller_deadline_{};  ///< Until then the caller may retry.
  time_point objective_{};        ///< End of the latency objective.
  bool is_head_ = false;
};

}  // namespace

task<void> ServeCaller(traffic_worker& worker,
                       boost::asio::ip::tcp::socket socket) {
  http_connection caller{std::move(socket)};
  const counted_guard connected{worker.state.counters.caller_connections};
  next_step next = next_step::kKeepAlive;
  while (next == next_step::kKeepAlive) {
    // NOTE: g++ 12 evaluates a co_await on the right of && in a condition even
    // if the left side is false, so it is a statement of its own.
    const bool has_request =
        co_await worker.WaitForClient(caller, worker.state.idle_timeout.load());
    if (!has_request) {
      break;
    }
    const counted_guard counted{worker.state.counters.in_flight};
    caller_request request{worker, caller};
    next = co_await request.Serve();
    // Counted as in flight, so that the last answer reaches the caller before
    // the process ends.
    if (next == next_step::kLingeringClose) {
      co_await LingeringClose(caller);
    }
  }
}

}  // namespace wagtailmount::detail
