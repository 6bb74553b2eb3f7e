#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "LibBase/random.h"
#include "LibLoad/body_schedule.h"
#include "LibLoad/caller_wait_estimator.h"
#include "LibLoad/retry_budget.h"
#include "LibRouting/exchange_sizes.h"
#include "LibTraffic/backend_gate.h"
#include "LibTraffic/backend_statements.h"
#include "LibTraffic/backend_warmth.h"
#include "LibTraffic/connection_pool.h"
#include "LibTraffic/decision_log.h"
#include "LibTraffic/disconnect_watcher.h"
#include "LibTraffic/request_quarantine.h"
#include "LibTraffic/service_statistics.h"
#include "LibTraffic/traffic_server.h"

namespace wagtailmount::detail {

/// A counter for each of the `size` values of an enumeration.
template <std::size_t size>
class cause_counters {
 public:
  template <typename cause_type>
  void Add(cause_type cause, std::uint64_t count = 1) {
    counters_[static_cast<std::size_t>(cause)] += count;
  }

  std::array<std::uint64_t, size> Read() const {
    std::array<std::uint64_t, size> counts{};
    std::copy(counters_.begin(), counters_.end(), counts.begin());
    return counts;
  }

 private:
  std::array<std::atomic<std::uint64_t>, size> counters_{};
};

/// The counters of traffic_counters, written by all traffic threads.
struct shared_counters {
  std::atomic<std::uint64_t> requests{0};
  std::atomic<std::uint64_t> answered_ran{0};
  std::atomic<std::uint64_t> answered_may_have_run{0};
  std::atomic<std::uint64_t> answered_not_run{0};
  std::atomic<std::uint64_t> bad_requests{0};
  std::atomic<std::uint64_t> attempts{0};
  std::atomic<std::uint64_t> retries{0};
  std::atomic<std::uint64_t> retries_over_budget{0};
  std::atomic<std::uint64_t> owner_admitted{0};
  std::atomic<std::uint64_t> owner_admitted_limited{0};
  std::atomic<std::uint64_t> owner_admitted_cold{0};
  std::atomic<std::uint64_t> owner_refused{0};
  std::atomic<std::uint64_t> owner_refused_evacuated{0};
  std::atomic<std::uint64_t> late_answers_dropped{0};
  std::atomic<std::uint64_t> backend_crashes{0};
  std::atomic<std::uint64_t> refused_quarantined{0};
  std::atomic<std::uint64_t> closed_crowded{0};
  cause_counters<kCloseCauses> closed;
  cause_counters<kCloseCauses> closed_unread;
  cause_counters<kCutCauses> requests_cut;
  std::atomic<std::uint64_t> pipelined_requests{0};
  std::atomic<std::uint64_t> pipelined_cancelled{0};
  std::atomic<std::uint64_t> pipelined_waiting_bytes{0};
  std::atomic<std::uint64_t> answers_being_written{0};
  std::atomic<std::uint64_t> caller_connections{0};
  std::atomic<std::uint64_t> in_flight{0};

  traffic_counters Read() const;
};

/// Adds one to a current number for the lifetime of the guard.
class counted_guard {
 public:
  explicit counted_guard(std::atomic<std::uint64_t>& number) : number_(number) {
    ++number_;
  }
  counted_guard(const counted_guard&) = delete;
  counted_guard& operator=(const counted_guard&) = delete;
  ~counted_guard() { --number_; }

 private:
  std::atomic<std::uint64_t>& number_;
};

/// State shared by all traffic threads.
struct traffic_state {
  traffic_state(const traffic_settings& server_settings,
                const runtime_clock& server_clock, structured_log* server_log)
      : settings(server_settings),
        clock(server_clock),
        log(server_log),
        gate(server_clock),
        warmth(server_clock, server_log, gate, server_settings.cold_overage,
               server_settings.cold_slack),
        statements(server_clock, server_log),
        quarantine(server_clock, server_log, server_settings.vm,
                   server_settings.fields.caller_service),
        bodies(LinkBytesASecond(server_settings)) {}

  const traffic_settings settings;
  const runtime_clock& clock;
  structured_log* const log;  ///< May be null.
  std::atomic<std::shared_ptr<const routing_snapshot>> snapshot;
  /// The maximum over all configurations so far, because a caller may still
  /// rely on an earlier one.
  std::atomic<std::chrono::milliseconds> idle_timeout{
      request_limits{}.idle_timeout};
  /// This process ends soon, but the backend server keeps running and receives
  /// requests; callers are told to close their connections.
  std::atomic<bool> is_stopping{false};
  /// When the last answers are to be given; in the far future unless stopping.
  std::atomic<time_point> answer_by{time_point::max()};
  /// How long after that other nodes may still answer; see stop_times.
  std::atomic<duration> verdict_wait{duration::zero()};
  /// When new requests begin to be refused; in the far future unless stopping.
  std::atomic<time_point> drain_from{time_point::max()};
  /// No new request starts at this VM's backend server; callers are told to
  /// close their connections.
  std::atomic<bool> is_leaving{false};
  /// New requests of callers are refused as well; implies `is_leaving`.
  std::atomic<bool> is_draining{false};
  /// Connections are closed as soon as no request is served on them.
  std::atomic<bool> is_closing{false};

  /// Whether new requests are refused. Goes by the time, since the thread that
  /// calls BeginDrain() may get no turn for a while.
  bool IsDraining() const {
    return is_draining || (is_stopping && clock.Now() >= drain_from.load());
  }
  /// Whether no new request starts at this VM's backend server.
  bool IsLeaving() const { return is_leaving || IsDraining(); }

  /// The service of the backend server on this VM.
  static const std::string& OwnService(const traffic_settings& settings,
                                       const routing_snapshot& snapshot) {
    return snapshot.Own() ? snapshot.Own()->service : settings.service;
  }

  static std::uint64_t LinkBytesASecond(const traffic_settings& settings) {
    constexpr double kBytesAMegabit = 125'000.0;
    return static_cast<std::uint64_t>(settings.link_megabits_per_second *
                                      kBytesAMegabit);
  }

  /// Whether callers have so many connections open that kept ones could take
  /// the descriptors which new connections need.
  bool IsCrowded() const;

  shared_counters counters;
  service_statistics statistics;
  decision_log decisions;
  backend_gate gate;
  backend_warmth warmth;  ///< After the gate, which it uses.
  backend_statements statements;
  request_quarantine quarantine;
  body_schedule bodies;  ///< From other nodes, over this VM's link.
};

/// One traffic thread's state for one service.
struct service_state {
  upstream_chooser chooser;
  retry_budget budget;
  exchange_sizes sizes{};
};

/// How far a request that is served has come. What is not answered is withdrawn
/// first: it may still be queued.
enum class request_stage : std::uint8_t { kAnswered, kUnanswered };

/// The state that one traffic thread uses alone.
struct traffic_worker {
  traffic_worker(traffic_state& shared, std::uint64_t seed)
      : state(shared), context(1), random(seed), withdraw_timer(context) {}

  /// The state for a service, created on first use. Entries of removed services
  /// stay; they are small.
  service_state& ServiceStateOf(const std::string& service_name);

  /// How long a client's connection may be idle now.
  using idle_timeout_function = duration (*)(const traffic_state& state);

  /// Waits for the next request of a client; false when there will be none.
  task<bool> WaitForClient(http_connection& client,
                           idle_timeout_function idle_timeout);

  /// Keeps a connection to the backend server for reuse if the limit on idle
  /// connections allows.
  void KeepBackendConnection(std::unique_ptr<http_connection> connection);

  /// Ends the wait for all clients, and with it their connections, once what
  /// has arrived from them is read. What such a client sends from then on stays
  /// unread; a caller learns it from the reset, another node is told.
  task<void> CloseIdleClients();

  /// At `end`, withdraws all requests that run or wait, here or at other nodes,
  /// so that they are answered while this process can still do so. Other nodes
  /// have `verdict_wait` to say that one has not run.
  void WithdrawAt(time_point end, duration verdict_wait);

  /// This process ends soon: what it can't pass on by then, the kernel does.
  void BufferUnsentAnswers();

  traffic_state& state;
  // Declared before the context, whose coroutines hold guards of it.
  /// By stage, and by start in each.
  std::map<std::pair<request_stage, std::uint64_t>, disconnect_watcher*>
      served_requests;
  std::uint64_t next_served = 0;
  std::set<http_connection*> answered_clients;  ///< See answer_guard.
  std::atomic<bool> has_withdrawn{false};       ///< See WithdrawAt().
  boost::asio::io_context context;
  random_source random;
  std::map<std::string, service_state, std::less<>> services;
  caller_wait_estimator patience;
  std::set<http_connection*> idle_clients;
  /// Other nodes that are being told that their connection is closed.
  std::atomic<std::uint64_t> closing_clients{0};
  boost::asio::steady_timer withdraw_timer;
  // Declared after the context, so that idle connections are destroyed first.
  connection_pool pool;

 private:
  void EndWithdrawalsBy(time_point end);
};

/// Counts and lists a connection as one on which an answer is being written,
/// for the lifetime of the guard.
class answer_guard {
 public:
  answer_guard(traffic_worker& worker, http_connection& client)
      : counted_(worker.state.counters.answers_being_written),
        worker_(worker),
        client_(client) {
    worker_.answered_clients.insert(&client_);
    if (worker_.state.is_stopping) {
      client_.BufferUnsent();
    }
  }
  answer_guard(const answer_guard&) = delete;
  answer_guard& operator=(const answer_guard&) = delete;
  ~answer_guard() { worker_.answered_clients.erase(&client_); }

 private:
  counted_guard counted_;
  traffic_worker& worker_;
  http_connection& client_;
};

/// Lists a request as served by `worker` for the lifetime of the guard.
class served_request_guard {
 public:
  served_request_guard(traffic_worker& worker, disconnect_watcher& watch,
                       request_stage stage = request_stage::kUnanswered)
      : worker_(worker), place_(stage, worker.next_served++) {
    worker_.served_requests.emplace(place_, &watch);
  }
  served_request_guard(const served_request_guard&) = delete;
  served_request_guard& operator=(const served_request_guard&) = delete;
  ~served_request_guard() { worker_.served_requests.erase(place_); }

 private:
  traffic_worker& worker_;
  std::pair<request_stage, std::uint64_t> place_;
};

}  // namespace wagtailmount::detail
