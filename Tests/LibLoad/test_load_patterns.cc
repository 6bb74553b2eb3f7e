// Replays load patterns against the admission of one owner in simulated time.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "LibBase/random.h"
#include "LibLoad/admission_controller.h"
#include "LibLoad/retry_after_delay.h"

using std::chrono::milliseconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

constexpr auto kUrgent = static_cast<request_priority>(1);
constexpr auto kUsual = static_cast<request_priority>(2);

struct pattern {
  double arrivals_a_second = 100.0;
  double urgent_share = 0.25;
  milliseconds service{160};
  double service_spread = 0.3;  ///< Of the mean; uniformly distributed.
  milliseconds objective{500};
  milliseconds deadline{1'500};
  std::uint32_t slots = 18;
  /// Refused callers retry once after this delay; 0: they don't retry.
  milliseconds return_after{0};
  /// Refused callers retry up to this often, each time after RetryAfterDelay().
  int told_returns = 0;
  /// For this long from the start, the mean service time is doubled.
  milliseconds cold_for{0};
};

struct outcome_counts {
  int asked = 0;
  int on_time = 0;
  int late = 0;
  int refused = 0;

  double OnTimeShare() const { return 1.0 * on_time / std::max(1, asked); }
  double ServedShare() const {
    return 1.0 * (on_time + late) / std::max(1, asked);
  }
};

// Simulates one owner and its callers in steps of 1 ms.
class owner_replay {
 public:
  owner_replay(const pattern& chosen, std::uint64_t seed)
      : pattern_(chosen), random_(seed) {
    upstream_limits limits;
    limits.slots = chosen.slots;
    limits.queue = 8 * chosen.slots;
    admission_.SetLimits(limits);
  }

  void Run(milliseconds length) {
    for (milliseconds passed{0}; passed < length; passed += milliseconds{1}) {
      clock_.Advance(milliseconds{1});
      FinishWhatIsDone();
      LetReturn();
      const double chance = pattern_.arrivals_a_second / 1'000.0;
      if (random_.Fraction() < chance) {
        const bool is_urgent = random_.Fraction() < pattern_.urgent_share;
        const caller asking{is_urgent ? kUrgent : kUsual, clock_.Now(), 0};
        ++counts_[asking.rank].asked;
        Ask(asking);
      }
    }
  }

  const outcome_counts& Of(request_priority rank) { return counts_[rank]; }
  int Overrun() const { return overrun_; }
  /// The total time in the queue of requests that were refused from it.
  duration WaitedInVain() const { return waited_in_vain_; }

 private:
  struct caller {
    request_priority rank;
    time_point began;
    int returns;
    time_point queued_at{};
  };

  void Ask(const caller& asking) {
    const auto reply = admission_.Arrive(
        clock_.Now(), {asking.began + pattern_.deadline, asking.rank,
                       asking.began + pattern_.objective});
    Apply(reply.effects);
    if (reply.decided == admission_reply::kind::kRefused) {
      Refuse(asking);
      return;
    }
    callers_[reply.id] = asking;
    callers_[reply.id].queued_at = clock_.Now();
    if (reply.decided == admission_reply::kind::kStart) {
      Start(reply.id);
    }
  }

  void Start(admission_id id) {
    const bool is_cold = clock_.Now() - start_ < pattern_.cold_for;
    const double spread =
        (is_cold ? 2.0 : 1.0) +
        pattern_.service_spread * (2.0 * random_.Fraction() - 1.0);
    const auto taken = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(
            static_cast<double>(pattern_.service.count()) * spread));
    done_at_.emplace(clock_.Now() + taken, id);
    overrun_ = std::max(overrun_, static_cast<int>(done_at_.size()) -
                                      static_cast<int>(pattern_.slots));
  }

  void FinishWhatIsDone() {
    while (!done_at_.empty() && done_at_.begin()->first <= clock_.Now()) {
      const admission_id id = done_at_.begin()->second;
      done_at_.erase(done_at_.begin());
      const caller& asked = callers_[id];
      const duration taken = clock_.Now() - asked.began;
      ++(taken <= pattern_.objective ? counts_[asked.rank].on_time
                                     : counts_[asked.rank].late);
      callers_.erase(id);
      Apply(admission_.Finish(clock_.Now(), id));
    }
  }

  void Apply(const std::vector<admission_effect>& effects) {
    for (const admission_effect& effect : effects) {
      if (effect.refused == refusal_cause::kNone) {
        Start(effect.id);
      } else {
        const caller asked = callers_[effect.id];
        callers_.erase(effect.id);
        waited_in_vain_ += clock_.Now() - asked.queued_at;
        Refuse(asked);
      }
    }
  }

  void Refuse(caller asked) {
    const int most_returns =
        pattern_.return_after > milliseconds{0} ? 1 : pattern_.told_returns;
    if (asked.returns++ < most_returns) {
      const duration left = asked.began + pattern_.deadline - clock_.Now();
      const milliseconds after = pattern_.told_returns > 0
                                     ? RetryAfterDelay(left, random_)
                                     : pattern_.return_after;
      returning_.emplace(clock_.Now() + after, asked);
      return;
    }
    ++counts_[asked.rank].refused;
  }

  void LetReturn() {
    while (!returning_.empty() && returning_.begin()->first <= clock_.Now()) {
      const caller asking = returning_.begin()->second;
      returning_.erase(returning_.begin());
      Ask(asking);
    }
  }

  pattern pattern_;
  random_source random_;
  manual_clock clock_;
  time_point start_ = clock_.Now();
  admission_controller admission_;
  std::map<admission_id, caller> callers_;
  std::multimap<time_point, admission_id> done_at_;
  std::multimap<time_point, caller> returning_;
  std::map<request_priority, outcome_counts> counts_;
  int overrun_ = 0;
  duration waited_in_vain_{};
};

// In requests a second: 18 slots of 160 ms each.
constexpr double kCapacity = 112.5;

}  // namespace

BOOST_AUTO_TEST_SUITE(load_patterns_suite)

BOOST_AUTO_TEST_CASE(BelowCapacityNothingIsRefused) {
  owner_replay replay{{.arrivals_a_second = 0.75 * kCapacity}, 1};
  replay.Run(milliseconds{30'000});
  BOOST_TEST(replay.Of(kUsual).ServedShare() > 0.99);
  BOOST_TEST(replay.Of(kUsual).OnTimeShare() > 0.98);
}

// At 1.7 times the capacity, the slots must stay busy with requests that end
// within their objective.
BOOST_AUTO_TEST_CASE(ABurstIsServedOnTimeUpToCapacity) {
  owner_replay replay{{.arrivals_a_second = 1.7 * kCapacity}, 2};
  replay.Run(milliseconds{20'000});
  const outcome_counts& urgent = replay.Of(kUrgent);
  const outcome_counts& usual = replay.Of(kUsual);
  const double whole = urgent.on_time + usual.on_time;
  BOOST_TEST(whole > 0.93 * kCapacity * 20.0);
  // Requests of the lower rank go first, and nearly all of them are on time.
  BOOST_TEST(urgent.OnTimeShare() > 0.95);
  BOOST_TEST(usual.late < 0.06 * usual.asked);
  BOOST_TEST(replay.Overrun() <= 0);
}

// Retries past their objective must not make first attempts late.
BOOST_AUTO_TEST_CASE(ThoseThatComeBackFillTheGaps) {
  pattern once{.arrivals_a_second = 1.4 * kCapacity};
  pattern returning = once;
  returning.return_after = milliseconds{600};
  owner_replay without{once, 3};
  owner_replay with{returning, 3};
  without.Run(milliseconds{20'000});
  with.Run(milliseconds{20'000});
  BOOST_TEST(with.Of(kUsual).on_time > 0.93 * without.Of(kUsual).on_time);
}

BOOST_AUTO_TEST_CASE(AfterABurstThoseThatComeBackAreServed) {
  owner_replay replay{
      {.arrivals_a_second = 0.7 * kCapacity, .return_after = milliseconds{600}},
      4};
  replay.Run(milliseconds{20'000});
  BOOST_TEST(replay.Of(kUsual).ServedShare() > 0.99);
}

// After a restart of all upstreams, service times are doubled for three
// seconds: the load is 1.56 times the capacity then, and half of that
// afterwards. Late requests must wait until slots are free instead of being
// refused.
BOOST_AUTO_TEST_CASE(AColdStartIsBridged) {
  owner_replay replay{{.arrivals_a_second = 0.78 * kCapacity,
                       .deadline = milliseconds{4'000},
                       .told_returns = 2,
                       .cold_for = milliseconds{3'000}},
                      6};
  replay.Run(milliseconds{8'000});
  BOOST_TEST(replay.Of(kUrgent).refused == 0);
  BOOST_TEST(replay.Of(kUsual).refused < 0.005 * replay.Of(kUsual).asked);
}

// In a lasting overload no slots are left for late requests: these must be
// refused soon instead of waiting for long first.
BOOST_AUTO_TEST_CASE(InALastingOverloadNobodyIsHeldInVain) {
  owner_replay replay{{.arrivals_a_second = 2.0 * kCapacity,
                       .deadline = milliseconds{4'000},
                       .told_returns = 2},
                      7};
  replay.Run(milliseconds{20'000});
  const int refused = replay.Of(kUsual).refused + replay.Of(kUrgent).refused;
  // On average, less than 0.15 of the deadline of 4 s per refused caller.
  BOOST_TEST(SecondsOf(replay.WaitedInVain()) < 0.15 * 4.0 * refused);
}

// An upstream with five times the service time can serve a fifth: its owner
// must refuse the rest at once instead of answering it late.
BOOST_AUTO_TEST_CASE(ASlowUpstreamAcceptsLess) {
  owner_replay replay{{.arrivals_a_second = 0.75 * kCapacity,
                       .service = milliseconds{800},
                       .objective = milliseconds{1'200},
                       .deadline = milliseconds{4'000}},
                      5};
  replay.Run(milliseconds{30'000});
  const outcome_counts& usual = replay.Of(kUsual);
  const outcome_counts& urgent = replay.Of(kUrgent);
  BOOST_TEST(usual.late + urgent.late <
             0.15 * (usual.on_time + urgent.on_time));
  BOOST_TEST(usual.on_time + urgent.on_time > 0.85 * 22.5 * 30.0);
}

BOOST_AUTO_TEST_SUITE_END()
