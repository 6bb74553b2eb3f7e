#include <boost/asio/steady_timer.hpp>

#include "LibLoad/backend_statement.h"
#include "LibLoad/load_text.h"
#include "LibLoad/retry.h"
#include "LibTraffic/answers.h"
#include "LibTraffic/body_go_ahead.h"
#include "LibTraffic/header_fields.h"
#include "LibTraffic/hop_text.h"
#include "LibTraffic/owner.h"
#include "LibTraffic/quarantine_check.h"
#include "LibTraffic/request_reading.h"
#include "LibTraffic/sessions.h"

namespace wagtailmount::detail {

namespace {

// Entry nodes enforce the configured limits on callers. Requests from other
// nodes may be slightly larger because of the fields added there.
constexpr request_limits kHopLimits{.header_bytes = 128 * 1024,
                                    .body_bytes = std::uint64_t{1} << 40U,
                                    .header_timeout = std::chrono::seconds{5},
                                    .idle_timeout = kIdleHopTimeout};

// One request from another node, from its header section to its answer.
class hop_request {
 public:
  hop_request(traffic_worker& worker, http_connection& client)
      : worker_(worker), state_(worker.state), client_(client) {
    ConfigureParser(parser_, kHopLimits);
  }

  /// False when the connection can't carry another request.
  task<bool> Serve() {
    const auto fault = co_await ReadRequestHeader(client_, parser_, kHopLimits);
    if (fault) {
      co_return false;
    }
    const time_point now = state_.clock.Now();
    begin_ = now;
    const http_request& head = parser_.get();
    id_ = FieldOf(head, kRequestIdField);
    is_head_ = head.method() == http::verb::head;
    const auto parameters = ParseHopParameters(FieldOf(head, kHopField));
    if (id_.empty() || !parameters) {
      co_return false;
    }
    if (state_.IsLeaving()) {
      co_return co_await Refuse(verdict::kNotRun, refusal_cause::kDraining);
    }
    // The limits of the backend server come with the configuration.
    if (state_.snapshot.load() == nullptr) {
      co_return co_await Refuse(verdict::kNotRun,
                                refusal_cause::kNoConfiguration);
    }
    if (!IsForThisVm(head, *parameters)) {
      co_return co_await Refuse(verdict::kNotRun, refusal_cause::kWrongOwner);
    }
    priority_ = parameters->rank;
    kind_ = ParseKind(FieldOf(head, kKindField));
    const auto age = AgeOf(head, *parameters);
    if (!age) {
      co_return false;
    }
    deadline_ = std::min<time_point>(now + parameters->time_left - *age,
                                     state_.answer_by.load());
    if (parameters->objective_left) {
      objective_ = now + *parameters->objective_left - *age;
    }
    co_return co_await Run();
  }

 private:
  // Where the request names the backend server instance that it is meant for,
  // the backend server checks that itself, which covers the service too.
  bool IsForThisVm(const http_request& head,
                   const hop_parameters& parameters) const {
    const bool is_checked_there =
        !FieldOf(head, state_.settings.fields.expected_backend_server).empty();
    return parameters.vm == state_.settings.vm &&
           (is_checked_there || parameters.service == state_.settings.service);
  }

  // How long ago the request was sent, by the deadline that it states on this
  // node's clock; zero if it states none, and nothing if that is malformed.
  std::optional<duration> AgeOf(const http_request& head,
                                const hop_parameters& parameters) const {
    const std::string_view stated = FieldOf(head, kOwnerDeadlineField);
    if (stated.empty()) {
      return duration::zero();
    }
    const auto deadline_ms = ParseNumber(stated);
    if (!deadline_ms) {
      return std::nullopt;
    }
    const std::chrono::milliseconds age =
        StatedTime(begin_) + parameters.time_left -
        std::chrono::milliseconds{*deadline_ms};
    return std::max<duration>(age, duration::zero());
  }

  // Decides about a body that its sender has announced. Returns kNone once the
  // sender was told to go ahead.
  task<refusal_cause> AdmitBody() {
    const time_point now = state_.clock.Now();
    const owner_load load = state_.gate.Load(priority_, kind_);
    const duration longest_wait = LongestWaitBeforeBody(now, load.service);
    const std::uint64_t bytes =
        parser_.content_length().value_or(kRetainedBodyBytes);
    const auto transfer =
        load.wait < longest_wait
            ? state_.bodies.Reserve(now, bytes, now + longest_wait,
                                    deadline_ - load.service)
            : std::nullopt;
    if (!transfer) {
      LogBodyRefusal(bytes, load);
      ++state_.counters.owner_refused;
      co_return refusal_cause::kOverloaded;
    }
    if (transfer->begin > now) {
      boost::asio::steady_timer timer{client_.stream.get_executor()};
      timer.expires_after(transfer->begin - now);
      error_code ignored;
      co_await timer.async_wait(ReportTo(ignored));
    }
    transfer_ = transfer;
    parser_.get().erase(http::field::expect);
    bool is_sent = false;
    if (!client_.HasPeerClosed()) {
      is_sent = co_await SendGoAhead(client_, transfer->bytes_a_second);
    }
    if (!is_sent) {
      EndTransfer();
    }
    co_return is_sent ? refusal_cause::kNone : refusal_cause::kAbandoned;
  }

  // As long as the backend server's queue may take the request.
  duration LongestWaitBeforeBody(time_point now, duration service) const {
    const arriving_request arriving{deadline_, priority_, objective_};
    return IsLate(now, arriving, service) ? (deadline_ - now) / 2
                                          : LongestWait(now, arriving, service);
  }

  void EndTransfer() {
    if (transfer_) {
      state_.bodies.Release(state_.clock.Now(), *transfer_);
      transfer_.reset();
    }
  }

  void LogBodyRefusal(std::uint64_t bytes, const owner_load& load) {
    if (state_.log == nullptr) {
      return;
    }
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    log_line line{"body-refused"};
    line.Text("id", id_)
        .Number("bytes", static_cast<std::int64_t>(bytes))
        .Number("wait_ms", duration_cast<milliseconds>(load.wait).count())
        .Number("left_ms",
                duration_cast<milliseconds>(deadline_ - begin_).count());
    state_.log->Add(std::move(line));
  }

  task<bool> Run() {
    if (IsContinueExpected(parser_) && !parser_.is_done()) {
      const refusal_cause refused = co_await AdmitBody();
      if (refused == refusal_cause::kAbandoned) {
        co_return false;
      }
      if (refused != refusal_cause::kNone) {
        co_return co_await Refuse(verdict::kNotRun, refused);
      }
    }
    outgoing_request request;
    const body_status read_status =
        co_await ReadRequestBody(client_, parser_, deadline_, request);
    if (read_status == body_status::kLate) {
      co_return co_await Refuse(verdict::kNotRun, refusal_cause::kTooLate);
    }
    if (read_status == body_status::kLost ||
        read_status == body_status::kInvalid) {
      co_return false;
    }
    if (read_status == body_status::kComplete) {
      EndTransfer();
    }
    // The process may have been told to stop since the header section came.
    if (state_.IsLeaving()) {
      co_return co_await Refuse(verdict::kNotRun, refusal_cause::kDraining);
    }
    deadline_ = std::min(deadline_, state_.answer_by.load());
    const auto known_rate_limit =
        ParseRateLimit(FieldOf(request.message, kRateLimitField));
    MergeCrashReports(state_, request, FieldOf(request.message, kCrashesField));
    RemoveHopByHopFields(request.message);
    SetFraming(request, parser_);
    disconnect_watcher watch{client_};
    const served_request_guard served{worker_, watch};
    watch.Start();
    attempt_result result = co_await RunAtBackendServer(
        worker_, owner_request{request, watch, deadline_, priority_, objective_,
                               kind_, known_rate_limit});
    if (!result.answer) {
      // Judged as not idempotent, because the entry node decides about retries.
      const attempt_classification judged =
          ClassifyAttempt(result.outcome, result.cause, false);
      // It was broken off by this node, not by the requester's deadline.
      const bool may_be_tried_again =
          watch.IsWithdrawn() && judged.proved == verdict::kMayHaveRun;
      co_return co_await Refuse(
          judged.proved,
          may_be_tried_again ? refusal_cause::kConnectionLost : judged.cause,
          result);
    }
    const bool is_kept_alive = CanKeepAlive();
    FinishAnswer(*result.answer, id_, is_head_, is_kept_alive);
    SetField(result.answer->message, kLoadField, OwnLoadText());
    SetField(result.answer->message, kClockField, OwnClockText());
    if (!result.crash_reports.empty()) {
      SetField(result.answer->message, kCrashesField, result.crash_reports);
    }
    const answer_guard writing{worker_, client_};
    const bool is_written = co_await WriteAnswer(client_, *result.answer);
    if (!is_written) {
      ++state_.counters.late_answers_dropped;
    } else if (result.answer->suspect) {
      state_.quarantine.RecordAnswer(*result.answer->suspect);
    }
    co_return is_written&& is_kept_alive;
  }

  std::string OwnLoadText() const {
    owner_load load = state_.gate.Load(priority_, kind_);
    load.held = state_.clock.Now() - begin_;
    return FormatLoad(load);
  }

  std::string OwnClockText() const {
    return std::to_string(StatedTime(state_.clock.Now()).count());
  }

  bool CanKeepAlive() const {
    return parser_.is_done() && parser_.keep_alive() && !state_.IsLeaving();
  }

  task<bool> Refuse(verdict proved, refusal_cause cause) {
    // NOTE: g++ 12 copies a temporary argument of an awaited coroutine byte by
    // byte, which breaks its strings.
    const attempt_result not_attempted;
    co_return co_await Refuse(proved, cause, not_attempted);
  }

  task<bool> Refuse(verdict proved, refusal_cause cause,
                    const attempt_result& ended) {
    const bool is_kept_alive = CanKeepAlive();
    refusal_answer refusal;
    refusal.status = StatusOf(cause, proved);
    refusal.proved = proved;
    refusal.reason = NameOf(cause);
    refusal.request_id = id_;
    refusal.is_kept_alive = is_kept_alive;
    refusal.is_head = is_head_;
    refusal.has_reached_backend_server = ended.has_reached_backend_server;
    refusal.is_backend_leaving = ended.is_backend_leaving;
    refusal.crash_reports = ended.crash_reports;
    const std::string load = OwnLoadText();
    refusal.load = load;
    const std::string clock = OwnClockText();
    refusal.clock = clock;
    const bool is_written = co_await WriteRefusal(client_, refusal);
    if (is_written && !is_kept_alive) {
      co_await LingeringClose(client_);
    }
    co_return is_written&& is_kept_alive;
  }

  traffic_worker& worker_;
  traffic_state& state_;
  http_connection& client_;
  http_request_parser parser_;
  std::string id_;
  time_point begin_;
  time_point deadline_;
  time_point objective_{};
  request_priority priority_ = request_priority::kInteractive;
  request_kind kind_ = kUnknownKind;
  bool is_head_ = false;
  std::optional<body_transfer> transfer_;  ///< While the body may arrive.
};

// Closes an idle connection. A close alone would not tell the other node
// whether a request that crosses it was read.
task<void> CloseWithNotice(traffic_worker& worker, http_connection& client) {
  // Longer than a request is on its way between two nodes.
  constexpr std::chrono::milliseconds kCrossingTime{200};
  const counted_guard closing{worker.closing_clients};
  refusal_answer notice;
  notice.reason = NameOf(refusal_cause::kDraining);
  notice.is_kept_alive = false;
  notice.is_closing_notice = true;
  const bool is_written = co_await WriteRefusal(client, notice);
  if (is_written) {
    co_await LingeringClose(client, kCrossingTime);
  }
}

}  // namespace

task<void> ServeHop(traffic_worker& worker,
                    boost::asio::ip::tcp::socket socket) {
  http_connection client{std::move(socket)};
  bool is_kept_alive = true;
  while (is_kept_alive) {
    const bool has_request = co_await worker.WaitForClient(
        client, [](const traffic_state&) { return duration{kIdleHopTimeout}; });
    if (!has_request && worker.state.is_closing) {
      co_await CloseWithNotice(worker, client);
    }
    if (!has_request) {
      break;
    }
    const counted_guard counted{worker.state.counters.in_flight};
    hop_request request{worker, client};
    is_kept_alive = co_await request.Serve();
  }
}

}  // namespace wagtailmount::detail
