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
  kNear,       ///< The better of two in the nearest failure domain.
  kSpillOver,  ///< The nearest ones cost more, by own observation.
  kEjected,    ///< Only ejected ones were left.
  kSuspect,    ///< Only ones not heard of for a while were left.
};

std::string_view NameOf(choice_reason reason);

struct upstream_choice {
  const upstream* chosen = nullptr;
  choice_reason why = choice_reason::kNear;
};

/// What an attempt says of its upstream.
enum class attempt_sign : std::uint8_t {
  kGood,         ///< Answered.
  kPressed,      ///< Refused for want of room; says nothing of its health.
  kShed,         ///< Refused by the backend server itself, though its owner had
                 ///< room.
  kBad,          ///< Failed, or answered with a fault of its own.
  kUnreachable,  ///< Nobody took the connection, of owner or backend server.
  kNothing,      ///< Ended for a reason of the asker's.
};

/// What is asked of an upstream.
struct placement_wish {
  request_priority rank = request_priority::kInteractive;
  /// An upstream of another failure domain that would let the request wait for
  /// longer is left out: asking it in vain costs bytes between the two.
  duration longest_wait = duration::max();
  /// How long until the answer loses its full worth; 0 or less when it has, or
  /// when that is not told.
  duration objective_left{};
  /// What request and answer together are expected to carry between two nodes.
  std::size_t bytes = 0;
};

/// What an upstream's owner told of its load, for requests of one rank.
struct told_load {
  request_priority rank = request_priority::kInteractive;
  duration wait{};     ///< Until a request of that rank starts.
  duration service{};  ///< How long it takes then.
  std::uint32_t slots = 0;
  duration overhead{};  ///< What the attempt took beyond its time at the owner.
};

/// Chooses among the upstreams of one service by what this thread has itself
/// seen of them. What they say of their own health and load is not asked.
class upstream_chooser {
 public:
  /// The place of the node that chooses.
  struct place {
    std::string failure_domain;
    std::string region;
  };

  explicit upstream_chooser(place own) : own_(std::move(own)) {}

  /// The upstream for the next attempt, or none when all are leaving or were
  /// tried. New upstreams take up their share over `slow_start`.
  std::optional<upstream_choice> Choose(time_point now,
                                        std::span<const upstream> upstreams,
                                        std::span<const upstream* const> tried,
                                        duration slow_start,
                                        random_source& random,
                                        const placement_wish& wish = {});

  /// True when the last Choose() found none only because all would let the
  /// request wait for too long.
  bool AreAllFull() const { return are_all_full_; }

  /// What was told of the upstream with the least wait, for the rank of the
  /// last Choose(), and how long ago; none when nothing was told of late.
  struct least_wait {
    duration wait{};
    duration service{};
    duration age{};
  };
  std::optional<least_wait> LeastToldWait(time_point now) const;

  /// An attempt at upstream `vm` begins.
  void Begin(std::string_view vm);

  /// The attempt has ended after `taken`.
  void End(time_point now, std::string_view vm, attempt_sign sign,
           duration taken);

  /// The owner of upstream `vm` told its load. That goes before what this
  /// thread has seen by itself, for a short while.
  void Told(time_point now, std::string_view vm, const told_load& load);

  bool IsEjected(time_point now, std::string_view vm) const;
  std::uint32_t OutstandingOf(std::string_view vm) const;

 private:
  struct told_wait {
    duration wait{};
    duration service{};
    time_point at{};
    std::uint32_t begun_since = 0;
  };
  /// By rank; ranks beyond the last share one.
  using told_waits = std::array<told_wait, 4>;

  /// What was seen of the upstreams of one failure domain together: the best
  /// guess at one of them that this thread has not asked of late.
  struct domain_observations {
    std::string name;
    told_waits told;
    double failure_share = 0.0;
  };

  /// What was seen of one incarnation of an upstream.
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
    duration overhead{};         ///< Smoothed: the way there, and slow owners.
    double failure_share = 0.0;  ///< Of what arrived there; smoothed.
    time_point ended_at{};       ///< When an attempt last told anything.
    std::size_t domain = 0;      ///< Its place in `domains_`.
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
