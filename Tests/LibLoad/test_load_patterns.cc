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

constexpr auto kFirstRank = static_cast<request_priority>(1);
constexpr auto kSecondRank = static_cast<request_priority>(2);

struct load_pattern {
  double arrivals_a_second = 100.0;
  double first_rank_share = 0.25;
  milliseconds service{160};
  double service_spread = 0.3;  ///< Of the mean; uniformly distributed.
  milliseconds objective{500};
  milliseconds deadline{1'500};
  std::uint32_t slots = 18;
  /// Refused callers retry once after this delay; 0: they don't retry.
  milliseconds retry_delay{0};
  /// Refused callers retry up to this often, each time after RetryAfterDelay().
  int max_advised_retries = 0;
  /// For this long from the start, the mean service time is doubled.
  milliseconds slow_start{0};
};

struct outcome_counts {
  int requests = 0;
  int on_time = 0;
  int late = 0;
  int refused = 0;

  double OnTimeShare() const { return 1.0 * on_time / std::max(1, requests); }
  double ServedShare() const {
    return 1.0 * (on_time + late) / std::max(1, requests);
  }
};

// Simulates one owner and its callers in steps of 1 ms.
class owner_simulation {
 public:
  owner_simulation(const load_pattern& chosen, std::uint64_t seed)
      : pattern_(chosen), random_(seed) {
    upstream_limits limits;
    limits.slots = chosen.slots;
    limits.queue = 8 * chosen.slots;
    admission_.SetLimits(limits);
  }

  void Run(milliseconds length) {
    for (milliseconds passed{0}; passed < length; passed += milliseconds{1}) {
      clock_.Advance(milliseconds{1});
      FinishCompleted();
      SendDueRetries();
      const double chance = pattern_.arrivals_a_second / 1'000.0;
      if (random_.Fraction() < chance) {
        const bool is_first_rank =
            random_.Fraction() < pattern_.first_rank_share;
        const caller requester{is_first_rank ? kFirstRank : kSecondRank,
                               clock_.Now(), 0};
        ++counts_[requester.rank].requests;
        Ask(requester);
      }
    }
  }

  const outcome_counts& CountsOf(request_priority rank) {
    return counts_[rank];
  }
  int MaxRunningAboveSlots() const { return max_running_above_slots_; }
  /// The total time in the queue of requests that were refused from it.
  duration WaitBeforeRefusal() const { return wait_before_refusal_; }

 private:
  struct caller {
    request_priority rank;
    time_point sent_at;
    int retries;
    time_point queued_at{};
  };

  void Ask(const caller& requester) {
    const auto reply = admission_.Arrive(
        clock_.Now(), {requester.sent_at + pattern_.deadline, requester.rank,
                       requester.sent_at + pattern_.objective});
    Apply(reply.effects);
    if (reply.decided == admission_reply::kind::kRefused) {
      Refuse(requester);
      return;
    }
    callers_[reply.id] = requester;
    callers_[reply.id].queued_at = clock_.Now();
    if (reply.decided == admission_reply::kind::kStart) {
      Start(reply.id);
    }
  }

  void Start(admission_id id) {
    const bool is_slow = clock_.Now() - start_ < pattern_.slow_start;
    const double spread =
        (is_slow ? 2.0 : 1.0) +
        pattern_.service_spread * (2.0 * random_.Fraction() - 1.0);
    const auto taken = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(
            static_cast<double>(pattern_.service.count()) * spread));
    done_at_.emplace(clock_.Now() + taken, id);
    max_running_above_slots_ = std::max(
        max_running_above_slots_,
        static_cast<int>(done_at_.size()) - static_cast<int>(pattern_.slots));
  }

  void FinishCompleted() {
    while (!done_at_.empty() && done_at_.begin()->first <= clock_.Now()) {
      const admission_id id = done_at_.begin()->second;
      done_at_.erase(done_at_.begin());
      const caller& requester = callers_[id];
      const duration taken = clock_.Now() - requester.sent_at;
      ++(taken <= pattern_.objective ? counts_[requester.rank].on_time
                                     : counts_[requester.rank].late);
      callers_.erase(id);
      Apply(admission_.Finish(clock_.Now(), id));
    }
  }

  void Apply(const std::vector<admission_effect>& effects) {
    for (const admission_effect& effect : effects) {
      if (effect.refused == refusal_cause::kNone) {
        Start(effect.id);
      } else {
        const caller requester = callers_[effect.id];
        callers_.erase(effect.id);
        wait_before_refusal_ += clock_.Now() - requester.queued_at;
        Refuse(requester);
      }
    }
  }

  void Refuse(caller requester) {
    const int max_retries = pattern_.retry_delay > milliseconds{0}
                                ? 1
                                : pattern_.max_advised_retries;
    if (requester.retries++ < max_retries) {
      const duration left =
          requester.sent_at + pattern_.deadline - clock_.Now();
      const milliseconds after = pattern_.max_advised_retries > 0
                                     ? RetryAfterDelay(left, random_)
                                     : pattern_.retry_delay;
      due_retries_.emplace(clock_.Now() + after, requester);
      return;
    }
    ++counts_[requester.rank].refused;
  }

  void SendDueRetries() {
    while (!due_retries_.empty() &&
           due_retries_.begin()->first <= clock_.Now()) {
      const caller requester = due_retries_.begin()->second;
      due_retries_.erase(due_retries_.begin());
      Ask(requester);
    }
  }

  load_pattern pattern_;
  random_source random_;
  manual_clock clock_;
  time_point start_ = clock_.Now();
  admission_controller admission_;
  std::map<admission_id, caller> callers_;
  std::multimap<time_point, admission_id> done_at_;
  std::multimap<time_point, caller> due_retries_;
  std::map<request_priority, outcome_counts> counts_;
  int max_running_above_slots_ = 0;
  duration wait_before_refusal_{};
};

// In requests a second: 18 slots of 160 ms each.
constexpr double kCapacity = 112.5;

}  // namespace

BOOST_AUTO_TEST_SUITE(load_patterns_suite)

BOOST_AUTO_TEST_CASE(BelowCapacityNothingIsRefused) {
  owner_simulation simulation{{.arrivals_a_second = 0.75 * kCapacity}, 1};
  simulation.Run(milliseconds{30'000});
  BOOST_TEST(simulation.CountsOf(kSecondRank).ServedShare() > 0.99);
  BOOST_TEST(simulation.CountsOf(kSecondRank).OnTimeShare() > 0.98);
}

// At 1.7 times the capacity, the slots must stay busy with requests that end
// within their objective.
BOOST_AUTO_TEST_CASE(ABurstIsServedOnTimeUpToCapacity) {
  owner_simulation simulation{{.arrivals_a_second = 1.7 * kCapacity}, 2};
  simulation.Run(milliseconds{20'000});
  const outcome_counts& first_rank = simulation.CountsOf(kFirstRank);
  const outcome_counts& second_rank = simulation.CountsOf(kSecondRank);
  const double on_time = first_rank.on_time + second_rank.on_time;
  BOOST_TEST(on_time > 0.93 * kCapacity * 20.0);
  // Requests of the lower rank go first, and nearly all of them are on time.
  BOOST_TEST(first_rank.OnTimeShare() > 0.95);
  BOOST_TEST(second_rank.late < 0.06 * second_rank.requests);
  BOOST_TEST(simulation.MaxRunningAboveSlots() <= 0);
}

// Requests of the earlier rank that arrive meanwhile start first, so most of
// the other rank would wait for nothing. What is hopeless is refused at once,
// and the slots stay as busy as before.
BOOST_AUTO_TEST_CASE(HopelessRequestsOfTheLaterRankAreRefusedAtOnce) {
  for (const double load : {1.2, 1.7}) {
    for (const double first_rank_share : {0.25, 0.5}) {
      BOOST_TEST_CONTEXT("load " << load << " share " << first_rank_share) {
        const load_pattern pattern{.arrivals_a_second = load * kCapacity,
                                   .first_rank_share = first_rank_share};
        owner_simulation simulation{pattern, 8};
        simulation.Run(milliseconds{20'000});
        const outcome_counts& first_rank = simulation.CountsOf(kFirstRank);
        const outcome_counts& second_rank = simulation.CountsOf(kSecondRank);
        // Up to an eighth of the objective, a refusal costs the caller nothing.
        BOOST_TEST(SecondsOf(simulation.WaitBeforeRefusal()) <=
                   SecondsOf(pattern.objective / 8) *
                       (first_rank.refused + second_rank.refused));
        BOOST_TEST(first_rank.on_time + second_rank.on_time >
                   0.93 * kCapacity * 20.0);
        BOOST_TEST(first_rank.OnTimeShare() > 0.95);
      }
    }
  }
}

// Retries past their objective must not make first attempts late.
BOOST_AUTO_TEST_CASE(LateRetriesDoNotDelayFirstAttempts) {
  load_pattern without_retries{.arrivals_a_second = 1.4 * kCapacity};
  load_pattern with_retries = without_retries;
  with_retries.retry_delay = milliseconds{600};
  owner_simulation baseline{without_retries, 3};
  owner_simulation retrying{with_retries, 3};
  baseline.Run(milliseconds{20'000});
  retrying.Run(milliseconds{20'000});
  BOOST_TEST(retrying.CountsOf(kSecondRank).on_time >
             0.93 * baseline.CountsOf(kSecondRank).on_time);
}

BOOST_AUTO_TEST_CASE(RetriesBelowCapacityAreServed) {
  owner_simulation simulation{
      {.arrivals_a_second = 0.7 * kCapacity, .retry_delay = milliseconds{600}},
      4};
  simulation.Run(milliseconds{20'000});
  BOOST_TEST(simulation.CountsOf(kSecondRank).ServedShare() > 0.99);
}

// After a restart of all upstreams, service times are doubled for three
// seconds: the load is 1.56 times the capacity then, and half of that
// afterwards. Late requests must wait until slots are free instead of being
// refused.
BOOST_AUTO_TEST_CASE(SlowStartCausesAlmostNoRefusals) {
  owner_simulation simulation{{.arrivals_a_second = 0.78 * kCapacity,
                               .deadline = milliseconds{4'000},
                               .max_advised_retries = 2,
                               .slow_start = milliseconds{3'000}},
                              6};
  simulation.Run(milliseconds{8'000});
  BOOST_TEST(simulation.CountsOf(kFirstRank).refused == 0);
  BOOST_TEST(simulation.CountsOf(kSecondRank).refused <
             0.005 * simulation.CountsOf(kSecondRank).requests);
}

// In a lasting overload no slots are left for late requests: these must be
// refused soon instead of waiting for long first.
BOOST_AUTO_TEST_CASE(LastingOverloadRefusesLateRequestsSoon) {
  owner_simulation simulation{{.arrivals_a_second = 2.0 * kCapacity,
                               .deadline = milliseconds{4'000},
                               .max_advised_retries = 2},
                              7};
  simulation.Run(milliseconds{20'000});
  const int refused = simulation.CountsOf(kSecondRank).refused +
                      simulation.CountsOf(kFirstRank).refused;
  // On average, less than 0.15 of the deadline of 4 s per refused caller.
  BOOST_TEST(SecondsOf(simulation.WaitBeforeRefusal()) < 0.15 * 4.0 * refused);
}

// An upstream with five times the service time can serve a fifth: its owner
// must refuse the rest at once instead of answering it late.
BOOST_AUTO_TEST_CASE(SlowUpstreamRefusesInsteadOfAnsweringLate) {
  owner_simulation simulation{{.arrivals_a_second = 0.75 * kCapacity,
                               .service = milliseconds{800},
                               .objective = milliseconds{1'200},
                               .deadline = milliseconds{4'000}},
                              5};
  simulation.Run(milliseconds{30'000});
  const outcome_counts& second_rank = simulation.CountsOf(kSecondRank);
  const outcome_counts& first_rank = simulation.CountsOf(kFirstRank);
  BOOST_TEST(second_rank.late + first_rank.late <
             0.15 * (second_rank.on_time + first_rank.on_time));
  BOOST_TEST(second_rank.on_time + first_rank.on_time > 0.85 * 22.5 * 30.0);
}

BOOST_AUTO_TEST_SUITE_END()
