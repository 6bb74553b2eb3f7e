// Rate limits, in stepped time.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

#include "LibBase/random.h"
#include "LibLoad/admission_controller.h"
#include "LibLoad/rate_limiter.h"

using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

constexpr auto kFirstRank = static_cast<request_priority>(1);
constexpr auto kSecondRank = static_cast<request_priority>(2);

struct limited_load {
  double limit = 22.8;  ///< Requests a second.
  double arrivals_a_second = 65.0;
  double urgent_share = 0.25;  ///< Of the more urgent rank.
  std::uint32_t slots = 18;
  milliseconds service{160};
  milliseconds objective{500};
  milliseconds deadline{3'000};
};

// One owner whose backend server names a limit after 2 s. Steps of 1 ms.
class limited_owner {
 public:
  explicit limited_owner(const limited_load& load) : load_(load), random_(7) {
    upstream_limits limits;
    limits.slots = load.slots;
    limits.queue = 8 * load.slots;
    admission_.SetLimits(limits);
  }

  void Run(seconds length) {
    for (milliseconds passed{0}; passed < length; passed += milliseconds{1}) {
      clock_.Advance(milliseconds{1});
      if (passed == kNamedAfter) {
        Apply(admission_.SetRateLimit(clock_.Now(), load_.limit));
      }
      FinishCompleted();
      const auto next = admission_.NextStart(clock_.Now());
      if (next && *next <= clock_.Now()) {
        Apply(admission_.Advance(clock_.Now()));
      }
      if (random_.Fraction() < load_.arrivals_a_second / 1'000.0) {
        Ask(random_.Fraction() < load_.urgent_share ? kFirstRank : kSecondRank);
      }
    }
  }

  // The greatest and the smallest number of starts within 4 s, from the moment
  // at which the limit was named.
  std::pair<int, int> StartsWithin4s() const {
    const time_point named = begin_ + kNamedAfter;
    std::pair<int, int> found{0, 1'000'000};
    for (time_point from = named; from + kWindow <= clock_.Now();
         from += milliseconds{50}) {
      const auto count = static_cast<int>(std::count_if(
          starts_.begin(), starts_.end(),
          [&](time_point at) { return at >= from && at < from + kWindow; }));
      found = {std::max(found.first, count), std::min(found.second, count)};
    }
    return found;
  }

  double LateShare() const { return 1.0 * late_ / std::max(1, started_); }
  duration MeanWaitBeforeRefusal() const {
    return wait_before_refusal_ / std::max(1, refused_);
  }
  double ServedShare(request_priority rank) {
    return 1.0 * started_of_[rank] / std::max(1, asked_of_[rank]);
  }
  const admission_controller& Admission() const { return admission_; }
  time_point Now() const { return clock_.Now(); }

 private:
  static constexpr milliseconds kNamedAfter{2'000};
  static constexpr seconds kWindow{4};

  struct request {
    request_priority rank;
    time_point asked;
    time_point ends{};
  };

  void Ask(request_priority rank) {
    const time_point now = clock_.Now();
    const admission_reply reply = admission_.Arrive(
        now,
        arriving_request{now + load_.deadline, rank, now + load_.objective});
    Apply(reply.effects);
    ++asked_of_[rank];
    if (reply.decided == admission_reply::kind::kRefused) {
      ++refused_;
      return;
    }
    requests_[reply.id] = {rank, now};
    if (reply.decided == admission_reply::kind::kStart) {
      Start(reply.id);
    }
  }

  void Start(admission_id id) {
    request& started = requests_.at(id);
    started.ends = clock_.Now() + load_.service;
    starts_.push_back(clock_.Now());
    ++started_;
    ++started_of_[started.rank];
    late_ += started.ends > started.asked + load_.objective ? 1 : 0;
  }

  void Apply(const std::vector<admission_effect>& effects) {
    for (const admission_effect& effect : effects) {
      if (effect.refused == refusal_cause::kNone) {
        Start(effect.id);
      } else {
        wait_before_refusal_ += clock_.Now() - requests_.at(effect.id).asked;
        ++refused_;
        requests_.erase(effect.id);
      }
    }
  }

  void FinishCompleted() {
    std::vector<admission_id> completed;
    for (const auto& [id, each] : requests_) {
      if (each.ends != time_point{} && each.ends <= clock_.Now()) {
        completed.push_back(id);
      }
    }
    for (const admission_id id : completed) {
      requests_.erase(id);
      Apply(admission_.Finish(clock_.Now(), id));
    }
  }

  limited_load load_;
  manual_clock clock_;
  const time_point begin_ = clock_.Now();
  random_source random_;
  admission_controller admission_;
  std::map<admission_id, request> requests_;
  std::vector<time_point> starts_;
  std::map<request_priority, int> asked_of_;
  std::map<request_priority, int> started_of_;
  int started_ = 0;
  int late_ = 0;
  int refused_ = 0;
  duration wait_before_refusal_{};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(rate_limiter_suite)

BOOST_AUTO_TEST_CASE(TokensComeAtTheRateAndAreKeptForAQuarterOfASecond) {
  manual_clock clock;
  rate_limiter limiter;
  BOOST_TEST(limiter.TryTake(clock.Now()));
  limiter.SetRate(clock.Now(), 20.0);
  BOOST_TEST(!limiter.TryTake(clock.Now()));
  BOOST_TEST((limiter.TimeUntil(clock.Now(), 1) == milliseconds{50}));
  BOOST_TEST((limiter.TimeUntil(clock.Now(), 3) == milliseconds{150}));
  clock.Advance(milliseconds{50});
  BOOST_TEST(limiter.TryTake(clock.Now()));
  BOOST_TEST(!limiter.TryTake(clock.Now()));
  limiter.Return();
  BOOST_TEST(limiter.TryTake(clock.Now()));
  clock.Advance(seconds{10});
  for (int count = 0; count < 5; ++count) {
    BOOST_TEST(limiter.TryTake(clock.Now()));
  }
  BOOST_TEST(!limiter.TryTake(clock.Now()));
  limiter.SetRate(clock.Now(), std::nullopt);
  BOOST_TEST(limiter.TryTake(clock.Now()));
}

BOOST_AUTO_TEST_CASE(ATokenIsThereWhenItIsSaidToBe) {
  manual_clock clock;
  for (const double rate : {0.0, 0.3, 3.7, 22.8, 333.3}) {
    rate_limiter limiter;
    limiter.SetRate(clock.Now(), rate);
    for (int count = 0; count < 100; ++count) {
      clock.Advance(limiter.TimeUntil(clock.Now(), 1));
      BOOST_TEST(limiter.TryTake(clock.Now()));
    }
  }
}

// A limit of zero would never be lifted if nothing were sent any more.
BOOST_AUTO_TEST_CASE(AtALimitOfZeroOneRequestStartsEach4s) {
  manual_clock clock;
  rate_limiter limiter;
  limiter.SetRate(clock.Now(), 0.0);
  BOOST_TEST((limiter.TimeUntil(clock.Now(), 1) == seconds{4}));
}

// A statement that is repeated, or changes, must not refill the bucket.
BOOST_AUTO_TEST_CASE(ANewRateKeepsTheTokens) {
  manual_clock clock;
  rate_limiter limiter;
  limiter.SetRate(clock.Now(), 10.0);
  clock.Advance(milliseconds{50});
  limiter.SetRate(clock.Now(), 20.0);
  BOOST_TEST(!limiter.TryTake(clock.Now()));
  BOOST_TEST((limiter.TimeUntil(clock.Now(), 1) == milliseconds{25}));
}

// The load of the backend server that named 22.8 requests a second while it got
// 65: no window of 4 s may have more than one and a half times the limit and 5.
BOOST_AUTO_TEST_CASE(ALimitIsUsedWholeAndNeverExceeded) {
  for (const double limit : {1.0, 5.4, 22.8}) {
    BOOST_TEST_CONTEXT("limit " << limit) {
      limited_load load;
      load.limit = limit;
      limited_owner owner{load};
      owner.Run(seconds{30});
      const auto [most, fewest] = owner.StartsWithin4s();
      BOOST_TEST(most <= 1.5 * limit * 4.0 + 5.0);
      BOOST_TEST(fewest >= 0.9 * limit * 4.0 - 1.0);
    }
  }
}

// What can't start in time is refused while there is time to go elsewhere, and
// what starts is answered in time.
BOOST_AUTO_TEST_CASE(RequestsBeyondALimitAreRefusedAtOnce) {
  limited_load load;
  load.urgent_share = 0.0;
  limited_owner owner{load};
  owner.Run(seconds{30});
  BOOST_TEST(owner.LateShare() <= 0.02);
  // Up to an eighth of the objective, a refusal costs the caller nothing.
  BOOST_TEST((owner.MeanWaitBeforeRefusal() <= load.objective / 8));
}

BOOST_AUTO_TEST_CASE(MoreUrgentRequestsAreServedMoreOftenUnderALimit) {
  const limited_load load;
  limited_owner owner{load};
  owner.Run(seconds{30});
  BOOST_TEST((owner.MeanWaitBeforeRefusal() <= load.objective / 8));
  BOOST_TEST(owner.ServedShare(kFirstRank) >= owner.ServedShare(kSecondRank));
}

// Other nodes place by the reported load: expected wait, and how many requests
// may run at the same time.
BOOST_AUTO_TEST_CASE(AReportedLoadShowsTheLimit) {
  limited_owner owner{limited_load{}};
  owner.Run(seconds{10});
  const owner_load load = owner.Admission().Load(owner.Now(), kSecondRank);
  // 22.8 a second, of 160 ms each.
  BOOST_TEST(load.slots == 4U);
  BOOST_TEST((load.wait >= milliseconds{200}));
}

BOOST_AUTO_TEST_CASE(ALiftedLimitStartsWhatIsQueued) {
  manual_clock clock;
  admission_controller admission;
  upstream_limits limits;
  limits.slots = 4;
  limits.queue = 8;
  admission.SetLimits(limits);
  admission.SetRateLimit(clock.Now(), 2.0);
  for (int count = 0; count < 3; ++count) {
    BOOST_TEST(
        (admission.Arrive(clock.Now(), clock.Now() + seconds{3}, kFirstRank)
             .decided == admission_reply::kind::kQueued));
  }
  BOOST_TEST(
      (admission.NextStart(clock.Now()) == clock.Now() + milliseconds{500}));
  BOOST_TEST(admission.SetRateLimit(clock.Now(), std::nullopt).size() == 3U);
  BOOST_TEST(admission.Running() == 3U);
}

// A request whose caller left while it waited was never sent.
BOOST_AUTO_TEST_CASE(ACancelledStartUsesNothingOfTheLimit) {
  manual_clock clock;
  admission_controller admission;
  upstream_limits limits;
  limits.slots = 4;
  admission.SetLimits(limits);
  admission.SetRateLimit(clock.Now(), 2.0);
  clock.Advance(seconds{1});
  const auto first =
      admission.Arrive(clock.Now(), clock.Now() + seconds{3}, kFirstRank);
  BOOST_TEST((first.decided == admission_reply::kind::kStart));
  const auto second =
      admission.Arrive(clock.Now(), clock.Now() + seconds{3}, kFirstRank);
  BOOST_TEST((second.decided == admission_reply::kind::kQueued));
  const auto effects = admission.Cancel(clock.Now(), first.id);
  BOOST_REQUIRE(effects.size() == 1U);
  BOOST_TEST((effects[0] == admission_effect{second.id, refusal_cause::kNone}));
}

BOOST_AUTO_TEST_SUITE_END()
