// Requests that are given up on and run on, in stepped time.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "LibBase/random.h"
#include "LibLoad/abandoned_work.h"
#include "LibLoad/admission_controller.h"

using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

struct abandoning_load {
  double arrivals_a_second = 200.0;
  double given_up_share = 0.8;
  milliseconds patience{30};  ///< Of those that give up, once started.
  milliseconds work{120};
  bool drops_abandoned = false;  ///< Whether the backend server does.
};

// One owner, and a backend server with 6 slots that runs what it got in the
// order of arrival, whether its caller waits or not.
class abandoning_owner {
 public:
  static constexpr std::size_t kSlots = 6;
  // What it holds beyond its slots.
  static constexpr std::size_t kQueue = 3;

  explicit abandoning_owner(const abandoning_load& load)
      : load_(load), random_(5) {
    upstream_limits limits;
    limits.slots = kSlots;
    limits.queue = 4 * kSlots;
    admission_.SetLimits(limits);
  }

  void Run(seconds length) {
    for (milliseconds passed{0}; passed < length; passed += milliseconds{1}) {
      clock_.Advance(milliseconds{1});
      Serve();
      GiveUp();
      const auto next = admission_.NextStart(clock_.Now());
      if (next && *next <= clock_.Now()) {
        Apply(admission_.Advance(clock_.Now()));
      }
      if (random_.Fraction() < load_.arrivals_a_second / 1'000.0) {
        Arrive();
      }
      most_held_ = std::max(most_held_, held_.size());
    }
  }

  std::size_t MostHeld() const { return most_held_; }
  int Answered() const { return answered_; }

 private:
  struct held_request {
    duration left;
    bool is_abandoned = false;
  };

  void Arrive() {
    const time_point now = clock_.Now();
    const auto reply = admission_.Arrive(
        now, arriving_request{now + seconds{2}, request_priority::kInteractive,
                              now + milliseconds{500}});
    Apply(reply.effects);
    if (reply.decided == admission_reply::kind::kStart) {
      Start(reply.id);
    }
  }

  void Apply(const std::vector<admission_effect>& effects) {
    for (const admission_effect& effect : effects) {
      if (effect.refused == refusal_cause::kNone) {
        Start(effect.id);
      }
    }
  }

  void Start(admission_id id) {
    held_[id] = {load_.work};
    if (random_.Fraction() < load_.given_up_share) {
      give_up_at_.emplace(clock_.Now() + load_.patience, id);
    }
  }

  // The first of those held run; ids ascend in the order of arrival.
  void Serve() {
    std::size_t running = 0;
    std::vector<admission_id> ended;
    for (auto& [id, each] : held_) {
      if (running++ == kSlots) {
        break;
      }
      each.left -= milliseconds{1};
      if (each.left <= duration::zero()) {
        ended.push_back(id);
      }
    }
    for (const admission_id id : ended) {
      const bool is_abandoned = held_.at(id).is_abandoned;
      held_.erase(id);
      if (!is_abandoned) {
        ++answered_;
        Apply(admission_.Finish(clock_.Now(), id));
      }
    }
  }

  void GiveUp() {
    while (!give_up_at_.empty() && give_up_at_.begin()->first <= clock_.Now()) {
      const admission_id id = give_up_at_.begin()->second;
      give_up_at_.erase(give_up_at_.begin());
      const auto found = held_.find(id);
      if (found == held_.end()) {
        continue;
      }
      found->second.is_abandoned = true;
      if (load_.drops_abandoned) {
        held_.erase(found);
      }
      Apply(admission_.Abandon(clock_.Now(), id));
    }
  }

  abandoning_load load_;
  manual_clock clock_;
  random_source random_;
  admission_controller admission_;
  std::map<admission_id, held_request> held_;
  std::multimap<time_point, admission_id> give_up_at_;
  std::size_t most_held_ = 0;
  int answered_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(abandoned_work_suite)

BOOST_AUTO_TEST_CASE(AnAbandonedRequestCountsAsLongAsItMayLast) {
  manual_clock clock;
  abandoned_work work;
  BOOST_TEST(work.Held(clock.Now()) == 0U);
  work.Add(clock.Now(), milliseconds{100});
  work.Add(clock.Now(), seconds{20});
  work.Add(clock.Now(), duration::zero());
  BOOST_TEST(work.Held(clock.Now()) == 3U);
  BOOST_TEST((work.NextEnd(clock.Now()) == clock.Now() + milliseconds{150}));
  clock.Advance(milliseconds{150});
  BOOST_TEST(work.Held(clock.Now()) == 2U);
  clock.Advance(milliseconds{850});
  BOOST_TEST(work.Held(clock.Now()) == 0U);
  BOOST_TEST(!work.NextEnd(clock.Now()).has_value());
}

// Some backend servers never answer what they can't queue.
BOOST_AUTO_TEST_CASE(RequestsGivenUpOnDoNotFillABackendServer) {
  for (const double share : {0.3, 0.8, 1.0}) {
    abandoning_load load;
    load.given_up_share = share;
    abandoning_owner owner{load};
    owner.Run(seconds{20});
    BOOST_TEST_CONTEXT("given up " << share) {
      BOOST_TEST(owner.MostHeld() <=
                 abandoning_owner::kSlots + abandoning_owner::kQueue);
    }
  }
}

// Most drop a request when its connection closes, and must not idle for those.
BOOST_AUTO_TEST_CASE(ABackendServerThatDropsAbandonedRequestsKeepsBusy) {
  abandoning_load load;
  load.arrivals_a_second = 50.0;
  load.given_up_share = 0.2;
  load.drops_abandoned = true;
  abandoning_owner owner{load};
  owner.Run(seconds{20});
  // 40 a second that take a slot for 120 ms, and 10 for 30 ms: 5.1 of 6 slots.
  BOOST_TEST(owner.Answered() >= static_cast<int>(0.9 * 0.8 * 20.0 * 50.0));
}

BOOST_AUTO_TEST_SUITE_END()
