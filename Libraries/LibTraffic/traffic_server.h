#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "LibBase/clock.h"
#include "LibBase/endpoint.h"
#include "LibBase/error.h"
#include "LibLoad/attempt_outcome.h"
#include "LibLoad/crash_report.h"
#include "LibLoad/retry_budget.h"
#include "LibLog/structured_log.h"
#include "LibRouting/routing_snapshot.h"
#include "LibRouting/upstream_choice.h"
#include "LibRouting/verdict.h"
#include "LibTraffic/close_cause.h"
#include "LibTraffic/request_fields.h"

namespace wagtailmount {

/// Settings of the request path on this VM.
struct traffic_settings {
  std::string vm;
  std::string failure_domain;
  std::string region;
  std::string service;  ///< The service of the backend server on this VM.
  endpoint caller;      ///< Where callers connect.
  endpoint hop;         ///< Where other nodes connect.
  endpoint backend_server;
  std::uint32_t threads = 1;
  std::uint64_t seed = 1;
  /// How many descriptors the process may have open; 0 if unknown.
  std::uint32_t maximum_descriptors = 0;
  request_fields fields;
  /// How far the rate of a cold backend server may be exceeded; see
  /// node_settings.
  double cold_overage = 1.0;
  double cold_slack = 0.0;
  double link_megabits_per_second = 0.0;  ///< Of this VM; 0 if unknown.
  fleet_retry_limits retries;  ///< Share 0: each route's own policy applies.
};

/// Counters since the start of the process.
struct traffic_counters {
  std::uint64_t requests = 0;  ///< Read completely or partly from callers.
  std::uint64_t answered_ran = 0;
  std::uint64_t answered_may_have_run = 0;
  std::uint64_t answered_not_run = 0;
  std::uint64_t bad_requests = 0;  ///< Rejected as invalid or not supported.
  std::uint64_t attempts = 0;      ///< Sent to owners, including this node.
  std::uint64_t retries = 0;
  std::uint64_t retries_over_budget = 0;
  std::uint64_t owner_admitted = 0;  ///< Started at this VM's backend server.
  /// Those of them started while the backend server named a rate limit.
  std::uint64_t owner_admitted_limited = 0;
  /// Those started while the backend server was taken to be cold.
  std::uint64_t owner_admitted_cold = 0;
  std::uint64_t owner_refused = 0;  ///< Refused: draining, full or too late.
  /// Of these: refused since the failure domain is evacuated.
  std::uint64_t owner_refused_evacuated = 0;
  std::uint64_t late_answers_dropped = 0;
  /// Requests that ran at this VM's backend server when it crashed.
  std::uint64_t backend_crashes = 0;
  /// Refused to callers because they crash the backend servers that run them.
  std::uint64_t refused_quarantined = 0;
  /// Kept connections of callers ended early, to save descriptors.
  std::uint64_t closed_crowded = 0;
  /// Connections of callers closed, and those of them closed under bytes that
  /// were not read.
  close_counts closed{};
  close_counts closed_unread{};
  /// Requests that were read and got no whole answer.
  cut_counts requests_cut{};
  /// Read while others on their connection were not answered, and served
  /// beside them.
  std::uint64_t pipelined_requests = 0;
  /// Those of them cancelled, because an answer before theirs closed the
  /// connection or the caller left.
  std::uint64_t pipelined_cancelled = 0;
  /// Bytes of answers that wait for others on their connection, now.
  std::uint64_t pipelined_waiting_bytes = 0;
  /// Answers that are on their way to callers or other nodes, now.
  std::uint64_t answers_being_written = 0;
  std::uint64_t caller_connections = 0;  ///< Current number, not a total.
  std::uint64_t in_flight = 0;           ///< Current number, not a total.
};

/// The upper bounds of the latency histogram's buckets.
inline constexpr std::array<std::chrono::milliseconds, 10> kLatencyBuckets{
    std::chrono::milliseconds{10},   std::chrono::milliseconds{25},
    std::chrono::milliseconds{50},   std::chrono::milliseconds{100},
    std::chrono::milliseconds{250},  std::chrono::milliseconds{500},
    std::chrono::milliseconds{1000}, std::chrono::milliseconds{2500},
    std::chrono::milliseconds{5000}, std::chrono::milliseconds{10000}};

/// Results of the requests that callers sent to one service through this node.
/// Counts are totals since the start of the process.
struct service_counts {
  std::string service;
  std::uint64_t requests = 0;
  std::uint64_t failed = 0;  ///< Not answered, or answered with status 5xx.
  std::uint64_t slow = 0;    ///< Slower than the service level's latency.
  /// Latency quantiles of the last complete window, which lasts at least 30 s
  /// and 16 requests; during the first window, of its requests so far. Zero
  /// before there are 16 requests.
  std::chrono::microseconds latency_median{0};
  std::chrono::microseconds latency_p99{0};
  std::chrono::microseconds latency_p999{0};
  /// Requests by latency since the start; the last bucket has no upper bound.
  std::array<std::uint64_t, kLatencyBuckets.size() + 1> latency_counts{};
  std::chrono::microseconds latency_sum{0};
};

/// How one caller's request was routed and how it ended.
struct traffic_decision {
  std::string request_id;
  std::string route;
  std::string service;
  std::string upstream;  ///< VM of the last attempt; empty when there was none.
  choice_reason why = choice_reason::kNear;
  std::uint32_t attempts = 0;
  verdict proved = verdict::kNotRun;
  refusal_cause reason = refusal_cause::kNone;  ///< kNone when answered.
};

/// When a stopping process does what.
struct stop_times {
  /// From then on, new requests are refused as not run.
  time_point drain_from = time_point::max();
  /// When the last answers are given.
  time_point answer_by = time_point::max();
  /// How long after that another node may still say of a request that was
  /// withdrawn from its queue that it has not run.
  duration verdict_wait{};
};

/// The request path: serves connections of callers and of other nodes on
/// threads of its own.
class traffic_server {
 public:
  /// Starts listening; requests are refused as not run until the first
  /// Publish(). `clock` must outlive the server, as must `log` unless it is
  /// null. Fails with kUnavailable when an address can't be listened on.
  static result<std::unique_ptr<traffic_server>> Start(
      const traffic_settings& server_settings, const runtime_clock& clock,
      structured_log* log = nullptr);

  virtual ~traffic_server() = default;

  /// Applies a snapshot to every request that begins from now on. Called by the
  /// control thread.
  virtual void Publish(std::shared_ptr<const routing_snapshot> snapshot) = 0;

  /// Prepares for the end of this process while its backend server keeps
  /// running. Answers tell callers to close their connections; everything else
  /// continues until BeginDrain() or `drain_from`, because only this process
  /// can reach the backend server. No request gets more time than until
  /// `answer_by`, whenever it began: what runs or waits then is withdrawn, so
  /// that each request that is read is also answered. Of answers to slow
  /// readers, the kernel takes as much as it can.
  virtual void BeginStop(const stop_times& times) = 0;

  /// True once everything was withdrawn on every thread.
  virtual bool HasWithdrawn() const = 0;

  /// Starts no more requests at this VM's backend server. Callers are still
  /// served by other upstreams, and answers tell them to close their
  /// connections, so that they move to other nodes without a refusal.
  virtual void BeginLeaving() = 0;

  /// Refuses new requests as not run and accepts no more connections; requests
  /// in flight continue.
  virtual void BeginDrain() = 0;

  /// After BeginDrain(): closes the connections on which no request is being
  /// read or served, and every other one after its answer, so that none is read
  /// that this process would not answer any more.
  virtual void CloseIdleConnections() = 0;

  /// True once that has been done on every thread. If IsIdle() is true as well
  /// then, the process may end.
  virtual bool HasClosedIdleConnections() const = 0;

  /// The crashes that this node knows, with the requests that ran.
  virtual crash_report_store& CrashReports() = 0;

  /// True when no request is in flight.
  virtual bool IsIdle() const = 0;

  virtual traffic_counters Counters() const = 0;

  /// In the order of service names.
  virtual std::vector<service_counts> ServiceCounts() const = 0;

  /// A bounded number of the newest decisions, oldest first.
  virtual std::vector<traffic_decision> RecentDecisions() const = 0;
};

}  // namespace wagtailmount
