#include "LibTraffic/traffic_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <limits>
#include <optional>
#include <thread>
#include <vector>

#include "LibTraffic/sessions.h"
#include "LibTraffic/traffic_state.h"

namespace wagtailmount {

namespace {

using boost::asio::ip::tcp;
using detail::traffic_state;
using detail::traffic_worker;

/// Bounds how long the other connections of a thread wait meanwhile.
constexpr std::size_t kMostAcceptedAtOnce = 64;

using session_function = detail::task<void> (*)(traffic_worker&, tcp::socket);

result<tcp::acceptor> Listen(boost::asio::io_context& context,
                             const endpoint& listen_address) {
  boost::system::error_code failure;
  const auto fail = [&](const char* step) {
    return Fail(error_kind::kUnavailable, std::string(step) + " " +
                                              listen_address.ToText() + ": " +
                                              failure.message());
  };
  const auto address =
      boost::asio::ip::make_address(listen_address.address, failure);
  if (failure) {
    return fail("invalid IP address");
  }
  const tcp::endpoint local{address, listen_address.port};
  tcp::acceptor acceptor{context};
  acceptor.open(local.protocol(), failure);
  if (failure) {
    return fail("cannot open a socket for");
  }
  acceptor.set_option(tcp::acceptor::reuse_address{true}, failure);
  acceptor.bind(local, failure);
  if (failure) {
    return fail("cannot bind to");
  }
  acceptor.listen(boost::asio::socket_base::max_listen_connections, failure);
  if (failure) {
    return fail("cannot listen on");
  }
  acceptor.non_blocking(true, failure);
  if (failure) {
    return fail("cannot set non-blocking");
  }
  return acceptor;
}

/// The implementation of traffic_server: the first thread accepts connections
/// and assigns them to all threads round-robin.
class threaded_traffic_server final : public traffic_server {
 public:
  threaded_traffic_server(const traffic_settings& server_settings,
                          const runtime_clock& clock, structured_log* log)
      : state_(server_settings, clock, log) {
    const std::uint32_t threads =
        std::max<std::uint32_t>(1, server_settings.threads);
    for (std::uint32_t index = 0; index < threads; ++index) {
      workers_.push_back(std::make_unique<traffic_worker>(
          state_, server_settings.seed + index));
    }
  }

  threaded_traffic_server(const threaded_traffic_server&) = delete;
  threaded_traffic_server& operator=(const threaded_traffic_server&) = delete;

  ~threaded_traffic_server() override {
    for (const auto& worker : workers_) {
      worker->context.stop();
    }
    for (std::thread& thread : threads_) {
      thread.join();
    }
    state_.gate.ForgetWaiters();
  }

  result<void> Run() {
    boost::asio::io_context& context = workers_.front()->context;
    auto caller = Listen(context, state_.settings.caller);
    if (!caller) {
      return tl::unexpected(caller.error());
    }
    auto hop = Listen(context, state_.settings.hop);
    if (!hop) {
      return tl::unexpected(hop.error());
    }
    caller_acceptor_.emplace(std::move(*caller));
    hop_acceptor_.emplace(std::move(*hop));
    boost::asio::co_spawn(context,
                          Accept(*caller_acceptor_, detail::ServeCaller),
                          boost::asio::detached);
    boost::asio::co_spawn(context, Accept(*hop_acceptor_, detail::ServeHop),
                          boost::asio::detached);
    for (const auto& worker : workers_) {
      threads_.emplace_back([&context = worker->context] {
        const auto work = boost::asio::make_work_guard(context);
        context.run();
      });
    }
    return {};
  }

  void Publish(std::shared_ptr<const routing_snapshot> snapshot) override {
    if (const auto& own = snapshot->Own()) {
      ApplyLimits(own->limits, own);
    } else if (const auto declared = snapshot->Configuration().FindService(
                   state_.settings.service)) {
      ApplyLimits(declared->limits, own);
    }
    for (const auto& each : snapshot->Configuration().Services()) {
      state_.statements.SetStarts(snapshot->UpstreamsOf(each->name));
    }
    const std::string_view current = CurrentBackendServer(*snapshot);
    const std::uint64_t incarnation =
        snapshot->Own() ? snapshot->Own()->incarnation : 0;
    const bool is_new_start =
        std::exchange(own_incarnation_, incarnation) != incarnation;
    if (!current.empty() &&
        (is_new_start || !state_.statements.IsCurrent(current))) {
      state_.gate.SetRateLimit(state_.statements.RateLimitOf(current));
    }
    state_.statements.SetCurrent(current);
    const auto idle = snapshot->Configuration().Limits().idle_timeout;
    state_.idle_timeout =
        has_snapshot_ ? std::max(state_.idle_timeout.load(), idle) : idle;
    has_snapshot_ = true;
    const bool is_evacuated =
        snapshot->Own() && snapshot->Own()->evacuated_since != time_point{};
    state_.snapshot.store(std::move(snapshot));
    if (is_evacuated) {
      state_.gate.RefuseQueued(refusal_cause::kEvacuated);
    }
  }

  void BeginStop(const stop_times& times) override {
    state_.verdict_wait = times.verdict_wait;
    state_.answer_by = times.answer_by;
    state_.drain_from = times.drain_from;
    state_.is_stopping = true;
    for (const auto& worker : workers_) {
      boost::asio::post(worker->context, [&worker = *worker, times] {
        worker.BufferUnsentAnswers();
        worker.WithdrawAt(times.answer_by, times.verdict_wait);
      });
    }
  }

  bool HasWithdrawn() const override {
    return std::all_of(
        workers_.begin(), workers_.end(),
        [](const auto& worker) { return worker->has_withdrawn.load(); });
  }

  void BeginLeaving() override { state_.is_leaving = true; }

  void BeginDrain() override {
    state_.is_leaving = true;
    if (!state_.is_draining.exchange(true)) {
      boost::asio::post(workers_.front()->context, [this] {
        StopListening(*caller_acceptor_, detail::ServeCaller);
        StopListening(*hop_acceptor_, detail::ServeHop);
      });
    }
  }

  void CloseIdleConnections() override {
    if (state_.is_closing.exchange(true)) {
      return;
    }
    for (const auto& worker : workers_) {
      boost::asio::co_spawn(
          worker->context, worker->CloseIdleClients(),
          [this, &worker = *worker](const std::exception_ptr&) {
            // Runs after what has been read by now is counted as in flight.
            boost::asio::post(worker.context, [this] { ++closed_workers_; });
          });
    }
  }

  bool HasClosedIdleConnections() const override {
    return closed_workers_ == workers_.size();
  }

  bool IsIdle() const override { return state_.counters.in_flight == 0; }

  crash_report_store& CrashReports() override { return state_.quarantine; }

  traffic_counters Counters() const override { return state_.counters.Read(); }

  std::vector<service_counts> ServiceCounts() const override {
    return state_.statistics.Read();
  }

  std::vector<traffic_decision> RecentDecisions() const override {
    return state_.decisions.Read();
  }

 private:
  void ApplyLimits(const upstream_limits& limits,
                   const std::optional<own_backend_server>& own) {
    state_.gate.SetLimits(limits);
    state_.warmth.Publish(limits, own);
  }

  // The id of this VM's backend server; empty if it has none or is not known.
  std::string_view CurrentBackendServer(
      const routing_snapshot& snapshot) const {
    for (const upstream& each : snapshot.UpstreamsOf(
             traffic_state::OwnService(state_.settings, snapshot))) {
      if (each.vm == state_.settings.vm && !each.is_leaving) {
        return each.backend_server_id;
      }
    }
    return {};
  }

  detail::task<void> Accept(tcp::acceptor& acceptor, session_function serve) {
    while (acceptor.is_open()) {
      traffic_worker& worker = NextWorker();
      tcp::socket socket{worker.context};
      boost::system::error_code failure;
      co_await acceptor.async_accept(socket, detail::ReportTo(failure));
      if (!failure) {
        StartSession(worker, std::move(socket), serve);
        AcceptWaiting(acceptor, serve, kMostAcceptedAtOnce);
      } else if (acceptor.is_open()) {
        co_await PauseAfterFailure();
      }
    }
  }

  // Accepts the connections in the listen backlog. With one for each turn of a
  // busy thread, requests would age there, where no clock of this process sees
  // it.
  void AcceptWaiting(tcp::acceptor& acceptor, session_function serve,
                     std::size_t most) {
    boost::system::error_code failure;
    for (std::size_t count = 0; count < most && !failure; ++count) {
      traffic_worker& worker = NextWorker();
      tcp::socket socket{worker.context};
      acceptor.accept(socket, failure);
      if (!failure) {
        StartSession(worker, std::move(socket), serve);
      }
    }
  }

  // Closing the socket would reset the connections in the listen backlog,
  // together with requests already written on them.
  void StopListening(tcp::acceptor& acceptor, session_function serve) {
    AcceptWaiting(acceptor, serve, std::numeric_limits<std::size_t>::max());
    boost::system::error_code ignored;
    acceptor.close(ignored);
  }

  traffic_worker& NextWorker() {
    return *workers_[next_worker_++ % workers_.size()];
  }

  static void StartSession(traffic_worker& worker, tcp::socket socket,
                           session_function serve) {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay{true}, ignored);
    boost::asio::co_spawn(worker.context, serve(worker, std::move(socket)),
                          detail::session_end{worker});
  }

  // accept() fails when file descriptors run out; retry once some may have been
  // closed.
  static detail::task<void> PauseAfterFailure() {
    constexpr std::chrono::milliseconds kPause{20};
    boost::asio::steady_timer timer{co_await boost::asio::this_coro::executor};
    timer.expires_after(kPause);
    boost::system::error_code ignored;
    co_await timer.async_wait(detail::ReportTo(ignored));
  }

  traffic_state state_;
  std::vector<std::unique_ptr<traffic_worker>> workers_;
  std::vector<std::thread> threads_;
  std::atomic<std::size_t> closed_workers_{0};
  // Used by the first thread only.
  std::optional<tcp::acceptor> caller_acceptor_;
  std::optional<tcp::acceptor> hop_acceptor_;
  std::size_t next_worker_ = 0;
  // Used by the control thread only.
  bool has_snapshot_ = false;
  std::uint64_t own_incarnation_ = 0;
};

}  // namespace

result<std::unique_ptr<traffic_server>> traffic_server::Start(
    const traffic_settings& server_settings, const runtime_clock& clock,
    structured_log* log) {
  auto server =
      std::make_unique<threaded_traffic_server>(server_settings, clock, log);
  if (auto started = server->Run(); !started) {
    return tl::unexpected(started.error());
  }
  return server;
}

}  // namespace wagtailmount
