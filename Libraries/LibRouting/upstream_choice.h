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
#include "LibRouting/routing_snapshot.h"

namespace wagtailmount {

/// Why an upstream was chosen.
enum class choice_reason : std::uint8_t {
  kNear,       ///< The best of those drawn among the nearest.
  kSpillOver,  ///< A farther one: the nearest are full or cost more.
  kEjected,    ///< Only ejected upstreams were left.
  kSuspect,    ///< Only upstreams not heard from lately were left.
};

std::string_view NameOf(choice_reason reason);

struct upstream_choice {
  const upstream* chosen = nullptr;
  choice_reason why = choice_reason::kNear;
};

/// What the end of an attempt shows about its upstream.
enum class attempt_sign : std::uint8_t {
  kGood,         ///< Answered.
  kPressed,      ///< Refused by its owner for lack of capacity or time, or
                 ///< because it drains; no sign of a fault.
  kShed,         ///< Refused by the backend server itself, although its owner
                 ///< had capacity.
  kBad,          ///< Failed, or answered with a server error.
  kUnreachable,  ///< Owner or backend server accepted no connection.
  kNothing,      ///< Ended for a reason on the caller's side.
};

/// What a request requires of its upstream.
struct placement_wish {
  request_priority rank = request_priority::kInteractive;
  /// An upstream in another failure domain with a longer expected wait is not
  /// chosen: a refused attempt would cost traffic between the failure domains.
  duration longest_wait = duration::max();
  /// Time until the latency objective is missed; 0 or less if it is missed
  /// already or there is none.
  duration objective_left{};
  /// Expected size of request and answer together, in bytes.
  std::size_t bytes = 0;
};

/// The load that an upstream's owner reported for requests of one priority.
struct told_load {
  request_priority rank = request_priority::kInteractive;
  duration wait{};     ///< Expected queue wait of such a request.
  duration service{};  ///< Mean service time once started.
  std::uint32_t slots = 0;
  duration overhead{};  ///< Time of the attempt not spent at the owner.
};

/// Chooses among the upstreams of one service, for one traffic thread. Decides
/// by the load that owners report in their answers and, without a recent
/// report, by the latencies and failures that this thread observed. What the
/// backend servers claim about their own health and load is not used.
class upstream_chooser {
 public:
  /// Where a node is.
  struct place {
    std::string failure_domain;
    std::string region;
  };

  explicit upstream_chooser(place own) : own_(std::move(own)) {}

  /// Returns the upstream for the next attempt, or none if all are leaving,
  /// were tried already or are expected to refuse. A new upstream reaches its
  /// full share of requests after `slow_start`.
  std::optional<upstream_choice> Choose(time_point now,
                                        std::span<const upstream> upstreams,
                                        std::span<const upstream* const> tried,
                                        duration slow_start,
                                        random_source& random,
                                        const placement_wish& wish = {});

  /// Returns whether the last Choose() found none only because every upstream
  /// was expected to make the request wait for too long.
  bool AreAllFull() const { return are_all_full_; }

  /// The load of the upstream with the shortest expected wait, for the priority
  /// of the last Choose().
  struct least_wait {
    duration wait{};
    duration service{};
    duration age{};  ///< Time since the report.
  };

  /// Returns none if no load was reported recently.
  std::optional<least_wait> LeastToldWait(time_point now) const;

  /// Records that an attempt at upstream `vm` begins.
  void Begin(std::string_view vm);

  /// Records that an attempt at upstream `vm` ended after `taken`.
  void End(time_point now, std::string_view vm, attempt_sign sign,
           duration taken);

  /// Records the load that the owner of upstream `vm` reported. For a short
  /// time it takes precedence over this thread's own observations.
  void Told(time_point now, std::string_view vm, const told_load& load);

  bool IsEjected(time_point now, std::string_view vm) const;
  std::uint32_t OutstandingOf(std::string_view vm) const;

 private:
  /// The last load reported, or the average over a failure domain.
  struct told_wait {
    duration wait{};
    duration service{};
    time_point at{};
    std::uint32_t begun_since = 0;  ///< Attempts begun since the report.
  };
  /// Indexed by priority; priorities beyond the last index share it.
  using told_waits = std::array<told_wait, 4>;

  /// Averages over the upstreams of one failure domain. They stand in for an
  /// upstream that this thread has not called recently.
  struct domain_observations {
    std::string name;
    told_waits told;
    double failure_share = 0.0;
  };

  /// What this thread knows about one incarnation of an upstream.
  struct observations {
    std::string vm;
    std::uint64_t incarnation = 0;
    time_point warming_since{};
    std::uint32_t outstanding = 0;
    duration latency{};  ///< Smoothed; zero when unknown.
    time_point seen_at{};
    time_point pressed_until{};
    std::uint32_t failures_in_row = 0;
    std::uint32_t ejections_in_row = 0;
    time_point ejected_until{};
    told_waits told;
    std::uint32_t told_slots = 1;
    duration overhead{};         ///< Smoothed: network time and slow owners.
    double failure_share = 0.0;  ///< Of the attempts; smoothed.
    time_point ended_at{};       ///< Last change of `failure_share`.
    std::size_t domain = 0;      ///< Its index in `domains_`.
  };

  enum class standing : std::uint8_t { kGood, kEjected, kSuspect };

  void Align(time_point now, std::span<const upstream> upstreams);
  observations* Find(std::string_view vm);
  const observations* Find(std::string_view vm) const;
  void CollectCandidates(time_point now, standing wanted,
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
  double TimeOf(time_point now, const observations& seen) const;
  double CostOf(time_point now, std::size_t index) const;
  std::size_t IndexOf(request_priority rank) const;
  bool HasToldOfLate(time_point now, const observations& seen) const;
  bool IsTold(time_point now, const observations& seen) const;
  const told_wait& LastTold(time_point now, const observations& seen) const;
  void TellDomain(time_point now, const observations& seen,
                  const told_load& load);
  std::size_t PlaceOfDomain(const std::string& name);
  double FailureShare(time_point now, const observations& seen) const;
  double ToldService(time_point now, const observations& seen) const;
  double ToldWait(time_point now, const observations& seen) const;
  bool IsFull(time_point now, const observations& seen) const;
  bool IsWorthTheWay(time_point now, std::size_t near, std::size_t far,
                     const upstream& far_upstream) const;

  bool IsTimelyEnough(time_point now, std::size_t near, std::size_t far,
                      std::size_t distance) const;

  duration FadedLatency(time_point now, const observations& seen) const;
  duration MedianLatency();
  bool MayEject(time_point now) const;
  void Eject(time_point now, observations& seen);

  place own_;
  std::vector<observations> seen_;  ///< In the order of the upstreams.
  std::vector<domain_observations> domains_;
  std::vector<std::size_t> candidates_;
  std::vector<std::size_t> farther_;
  std::vector<duration> latencies_;
  duration median_latency_{};
  placement_wish wish_;
  bool are_all_full_ = false;
};

}  // namespace wagtailmount
