#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/clock.h"
#include "LibBase/random.h"
#include "LibRouting/kind_places.h"
#include "LibRouting/routing_snapshot.h"

namespace wagtailmount {

/// Why an upstream was chosen.
enum class choice_reason : std::uint8_t {
  kNear,       ///< The best of those drawn among the nearest.
  kSpillOver,  ///< A farther one: the nearest are full or cost more.
  kEjected,    ///< Only ejected upstreams were left.
  kSuspect,    ///< Only upstreams not heard from lately were left.
};

/// Returns the reason as the decision log shows it, for example "spill-over".
std::string_view NameOf(choice_reason reason);

struct upstream_choice {
  const upstream* chosen = nullptr;
  choice_reason why = choice_reason::kNear;
};

/// What the end of an attempt shows about its upstream.
enum class attempt_signal : std::uint8_t {
  kGood,          ///< Answered.
  kOwnerRefused,  ///< Refused by its owner for lack of capacity or time; no
                  ///< sign of a fault.
  kOwnerDrains,   ///< Refused by its owner, which accepts no connection soon.
  kShed,          ///< Refused by the backend server itself, although its owner
                  ///< had capacity.
  kBad,           ///< Failed, or answered with a server error.
  kUnreachable,   ///< Owner or backend server accepted no connection.
  kInconclusive,  ///< Ended for a reason on the caller's side.
};

/// What a request requires of its upstream.
struct placement_criteria {
  request_priority rank = request_priority::kInteractive;
  /// An upstream with a longer expected wait is not chosen if it reported that
  /// wait itself or is in another failure domain, where a refused attempt would
  /// cost traffic.
  duration longest_wait = duration::max();
  /// Time until the latency objective is missed; 0 or less if it is missed
  /// already or there is none.
  duration objective_left{};
  /// Expected size of request and answer together, in bytes.
  std::size_t bytes = 0;
  request_kind kind = kUnknownKind;
};

/// The load that an upstream's owner reported for requests of one priority and
/// kind.
struct reported_load {
  request_priority rank = request_priority::kInteractive;
  duration wait{};     ///< Expected queue wait of such a request.
  duration service{};  ///< Mean service time once started.
  std::uint32_t slots = 0;
  duration overhead{};  ///< Time of the attempt not spent at the owner.
  request_kind kind = kUnknownKind;
};

/// Chooses among the upstreams of one service, for one traffic thread. Decides
/// by the load that owners report in their answers and, without a recent
/// report, by the latencies and failures that this thread observed. What the
/// backend servers claim about their own health and load is not used.
class upstream_chooser {
 public:
  /// Where a node is.
  struct locality {
    std::string failure_domain;
    std::string region;
  };

  explicit upstream_chooser(locality own) : own_locality_(std::move(own)) {}

  /// Returns the upstream for the next attempt, or none if all are leaving or
  /// evacuated, were tried already, could not be connected to a moment ago or
  /// are expected to refuse. A new upstream reaches its full share of requests
  /// after `slow_start`.
  ///
  /// Handles these load patterns:
  /// - many unreachable upstreams under a load that fills the others: an
  ///   unreachable one reports no wait, but must not look like the one with
  ///   room;
  /// - a node that is cut off: its requests don't wait for connections one
  ///   after the other.
  std::optional<upstream_choice> Choose(
      time_point now, std::span<const upstream> upstreams,
      std::span<const upstream* const> tried, duration slow_start,
      random_source& random, const placement_criteria& criteria = {});

  /// Returns whether the last Choose() found none only because every upstream
  /// was expected to make the request wait for too long.
  bool AreAllFull() const { return are_all_full_; }

  /// The load of the upstream with the shortest expected wait, for the priority
  /// of the last Choose().
  struct least_reported_wait {
    duration wait{};
    duration service{};
    duration age{};  ///< Time since the report.
  };

  /// Returns none if no load was reported recently.
  std::optional<least_reported_wait> LeastReportedWait(time_point now) const;

  /// Records that an attempt at upstream `vm` begins.
  void Begin(std::string_view vm);

  /// Records that an attempt at upstream `vm` ended after `taken`.
  void End(time_point now, std::string_view vm, attempt_signal signal,
           duration taken);

  /// Records the load that the owner of upstream `vm` reported. For a short
  /// time it takes precedence over this thread's own observations.
  void RecordReportedLoad(time_point now, std::string_view vm,
                          const reported_load& load);

  /// Returns whether failures keep upstream `vm` out of use at `now`.
  bool IsEjected(time_point now, std::string_view vm) const;

  /// Returns the number of attempts at upstream `vm` that have not ended yet.
  std::uint32_t OutstandingOf(std::string_view vm) const;

 private:
  /// The last load reported, or the average over a failure domain.
  struct load_report {
    duration wait{};
    duration service{};
    time_point at{};
    std::uint32_t attempts_since_report = 0;
  };
  /// Indexed by the places of kinds.
  using load_reports = std::array<load_report, kind_places::kCount>;

  /// Averages over the upstreams of one failure domain. They stand in for an
  /// upstream that this thread has not called recently.
  struct domain_observations {
    std::string name;
    load_reports reports;
    double failure_share = 0.0;
  };

  /// What this thread knows about one incarnation of an upstream.
  struct observations {
    std::string vm;
    std::uint64_t incarnation = 0;
    bool is_evacuated = false;
    time_point warming_since{};
    std::uint32_t outstanding = 0;
    duration latency{};  ///< Smoothed; zero when unknown.
    time_point latency_updated_at{};
    time_point penalized_until{};
    std::uint32_t failures_in_row = 0;
    std::uint32_t ejections_in_row = 0;
    time_point ejected_until{};
    /// The last attempt found no connection. Until one succeeds, the upstream
    /// gets a single attempt at a time, to find out whether it is back.
    bool is_unreachable = false;
    load_reports reports;
    std::uint32_t reported_slots = 1;
    duration overhead{};         ///< Smoothed: network time and slow owners.
    double failure_share = 0.0;  ///< Of the attempts; smoothed.
    time_point failure_share_updated_at{};
    std::size_t domain_index = 0;  ///< Of its failure domain.
  };

  enum class availability : std::uint8_t {
    kGood,
    kEjected,
    kSuspect,
    kUnusable,  ///< Never a candidate.
  };

  static availability AvailabilityOf(time_point now, const upstream& candidate,
                                     const observations& seen);
  void AlignObservations(time_point now, std::span<const upstream> upstreams);
  observations* Find(std::string_view vm);
  const observations* Find(std::string_view vm) const;
  void CollectCandidates(time_point now, availability wanted,
                         std::span<const upstream> upstreams,
                         std::span<const upstream* const> tried);
  int DistanceOf(const upstream& candidate) const;
  std::optional<upstream_choice> ChooseAmongCandidates(
      time_point now, std::span<const upstream> upstreams, duration slow_start,
      random_source& random);
  void SplitByDistance(time_point now, std::span<const upstream> upstreams);
  std::size_t BestOfDrawn(time_point now,
                          std::span<const std::size_t> candidates,
                          duration slow_start, random_source& random) const;
  std::size_t Draw(time_point now, std::span<const std::size_t> candidates,
                   duration slow_start, random_source& random) const;
  double ExpectedTime(time_point now, const observations& seen) const;
  double CostOf(time_point now, std::size_t index) const;
  bool HasRecentReport(time_point now, const observations& seen) const;
  bool IsLoadKnown(time_point now, const observations& seen) const;
  const load_report& LatestReport(time_point now,
                                  const observations& seen) const;
  void UpdateDomainReport(time_point now, const observations& seen,
                          std::size_t place, const reported_load& load);
  std::size_t FindOrAddDomain(const std::string& name);
  double FailureShare(time_point now, const observations& seen) const;
  double ReportedServiceTime(time_point now, const observations& seen) const;
  double EstimatedWait(time_point now, const observations& seen) const;
  bool IsFull(time_point now, const observations& seen) const;
  bool IsWorthTheDistance(time_point now, std::size_t near, std::size_t far,
                          const upstream& far_upstream) const;

  bool IsTimelinessGainEnough(time_point now, std::size_t near, std::size_t far,
                              std::size_t distance) const;

  duration DecayedLatency(time_point now, const observations& seen) const;
  duration MedianLatency();
  bool MayEject(time_point now) const;
  void Eject(time_point now, observations& seen);
  void RecordFailure(time_point now, observations& seen, attempt_signal signal);

  locality own_locality_;
  std::vector<observations> seen_;  ///< In the order of the upstreams.
  std::vector<domain_observations> domains_;
  std::vector<std::size_t> candidates_;
  std::vector<std::size_t> farther_;
  std::vector<duration> latencies_;
  duration median_latency_{};
  placement_criteria criteria_;
  kind_places places_;
  std::size_t place_ = 0;  ///< Of the kind in `criteria_`.
  bool are_all_full_ = false;
};

}  // namespace wagtailmount
