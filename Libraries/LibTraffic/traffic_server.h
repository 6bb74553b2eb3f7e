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
#include "LibLoad/retry_budget.h"
#include "LibLog/structured_log.h"
#include "LibRouting/routing_snapshot.h"
#include "LibRouting/upstream_choice.h"
#include "LibRouting/verdict.h"
#include "LibTraffic/request_fields.h"

namespace wagtailmount {

/// How this VM takes part in serving requests.
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
  request_fields fields;
  fleet_retry_limits retries;  ///< Share 0: the routes' own policies decide.
};

/// Counts since the start of the process; they only rise.
struct traffic_counters {
  std::uint64_t requests = 0;  ///< Requests read whole or in part from callers.
  std::uint64_t answered_ran = 0;
  std::uint64_t answered_may_have_run = 0;
  std::uint64_t answered_not_run = 0;
  std::uint64_t bad_requests = 0;  ///< Refused for their form.
  std::uint64_t attempts =
      0;  ///< Attempts sent to owners, the local one included.
  std::uint64_t retries = 0;
  std::uint64_t retries_over_budget = 0;
  std::uint64_t owner_admitted =
      0;  ///< Requests started at the backend server of this VM.
  std::uint64_t owner_refused =
      0;  ///< Refused here as an owner: draining, full, too late.
  std::uint64_t late_answers_dropped = 0;
  std::uint64_t in_flight = 0;  ///< Now, not since the start.
};

/// The upper bounds of the latency histogram's buckets.
inline constexpr std::array<std::chrono::milliseconds, 10> kLatencyBuckets{
    std::chrono::milliseconds{10},   std::chrono::milliseconds{25},
    std::chrono::milliseconds{50},   std::chrono::milliseconds{100},
    std::chrono::milliseconds{250},  std::chrono::milliseconds{500},
    std::chrono::milliseconds{1000}, std::chrono::milliseconds{2500},
    std::chrono::milliseconds{5000}, std::chrono::milliseconds{10000}};

/// What callers saw of one service through this node; counts only rise.
struct service_counts {
  std::string service;
  std::uint64_t requests = 0;
  std::uint64_t failed = 0;  ///< Without an answer, or with a status of 5xx.
  std::uint64_t slow = 0;    ///< Slower than the service's level.
  /// Over the last window of at least half a minute and 16 requests, or the
  /// first while it lasts; zero until there are so many.
  std::chrono::microseconds latency_median{0};
  std::chrono::microseconds latency_99{0};
  std::chrono::microseconds latency_999{0};
  /// Requests by latency since the start; the last bucket has no upper bound.
  std::array<std::uint64_t, kLatencyBuckets.size() + 1> latency_counts{};
  std::chrono::microseconds latency_sum{0};
};

/// How one request of a caller was decided.
struct traffic_decision {
  std::string request_id;
  std::string route;
  std::string service;
  std::string upstream;  ///< The VM tried last; empty when none was.
  choice_reason why = choice_reason::kNear;
  std::uint32_t attempts = 0;
  verdict proved = verdict::kNotRun;
  refusal_cause reason = refusal_cause::kNone;  ///< kNone when answered.
};

/// The request path: listens for callers and for other nodes, with threads of
/// its own.
class traffic_server {
 public:
  /// Starts listening; requests are refused as not run until the first
  /// Publish(). `clock` must outlive the server, and `log` too if there is one.
  static result<std::unique_ptr<traffic_server>> Start(
      const traffic_settings& chosen, const runtime_clock& clock,
      structured_log* log = nullptr);

  virtual ~traffic_server() = default;

  /// Puts a snapshot in force for every request that begins from now on. Called
  /// by the control thread.
  virtual void Publish(std::shared_ptr<const routing_snapshot> snapshot) = 0;

  /// This process ends soon while its backend server stays. Callers are told
  /// to close the connection; until BeginDrain() all goes on otherwise, as only
  /// this process reaches the backend server.
  virtual void BeginStop() = 0;

  /// From now on no new work starts at this VM's backend server. Callers are
  /// still served, by other upstreams, and told to close the connection, so
  /// that they go elsewhere without a refusal.
  virtual void BeginLeaving() = 0;

  /// From now on new work is refused as not run and callers can't connect; what
  /// is in flight goes on.
  virtual void BeginDrain() = 0;

  /// True once nothing is in flight.
  virtual bool IsIdle() const = 0;

  virtual traffic_counters Counters() const = 0;

  /// In the order of service names.
  virtual std::vector<service_counts> ServiceCounts() const = 0;

  /// A bounded number of the newest decisions, oldest first.
  virtual std::vector<traffic_decision> RecentDecisions() const = 0;
};

}  // namespace wagtailmount
