// Which requests leave a failure domain, by their size and expected time.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>

#include "LibRouting/exchange_sizes.h"
#include "LibRouting/spill_over_comparison.h"
#include "LibRouting/upstream_choice.h"

using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::size_t kShort = 1'000;
constexpr std::size_t kLong = 6'000;

spill_over_comparison OfferOf(milliseconds near_time, milliseconds far_time,
                              std::size_t bytes) {
  return {.near_time = near_time,
          .far_time = far_time,
          .objective_left = milliseconds{400},
          .bytes = bytes};
}

// A failure domain whose only upstream is too slow for its callers. Each step
// sends one request, every fourth with a long message; the near upstream runs
// kSlots requests at a time, the far one has no queue.
struct slow_domain {
  slow_domain() {
    for (const char* const domain : {"near-hall", "far-hall"}) {
      upstream made;
      made.vm = domain;
      made.failure_domain = domain;
      made.region = "one-region";
      made.incarnation = 1;
      upstreams.push_back(made);
    }
  }

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      clock.Advance(kStep);
      while (!ends.empty() && ends.front().at <= clock.Now()) {
        chooser.End(clock.Now(), "near-hall", attempt_signal::kGood, kNearTime);
        Tell(ends.front().rank);
        ends.pop_front();
      }
      const bool is_long = step % 4 == 0;
      Send(is_long ? kLongRank : kShortRank, is_long ? kLong : kShort);
    }
  }

  void Send(request_priority rank, std::size_t bytes) {
    const auto choice =
        chooser.Choose(clock.Now(), upstreams, {}, seconds{0}, random,
                       {.rank = rank,
                        .longest_wait = milliseconds{400},
                        .objective_left = milliseconds{400},
                        .bytes = bytes});
    BOOST_REQUIRE(choice);
    chooser.Begin(choice->chosen->vm);
    ++asked[rank];
    if (choice->chosen->vm == "near-hall") {
      // It runs kSlots requests at a time, the long ones first.
      const auto before =
          std::count_if(ends.begin(), ends.end(),
                        [&](const ending& each) { return each.rank <= rank; });
      const auto wait = before < kSlots
                            ? milliseconds{0}
                            : kNearTime * (before - kSlots + 1) / kSlots;
      const ending made{clock.Now() + kNearTime + wait, rank};
      ends.insert(std::upper_bound(ends.begin(), ends.end(), made,
                                   [](const ending& one, const ending& other) {
                                     return one.at < other.at;
                                   }),
                  made);
      return;
    }
    ++left[rank];
    bytes_between += bytes;
    chooser.End(clock.Now(), "far-hall", attempt_signal::kGood, kFarTime);
    chooser.RecordReportedLoad(clock.Now(), "far-hall",
                               {rank, {}, kFarTime, kSlots, {}});
  }

  void Tell(request_priority rank) {
    const auto queued = std::max<std::ptrdiff_t>(
        0, static_cast<std::ptrdiff_t>(ends.size()) - kSlots);
    const auto wait =
        rank == kLongRank ? milliseconds{0} : kNearTime * queued / kSlots;
    chooser.RecordReportedLoad(clock.Now(), "near-hall",
                               {rank, wait, kNearTime, kSlots, {}});
  }

  double LeftShare(request_priority rank) {
    return 1.0 * left[rank] / std::max(1, asked[rank]);
  }

  struct ending {
    time_point at;
    request_priority rank;
  };

  static constexpr auto kLongRank = static_cast<request_priority>(1);
  static constexpr auto kShortRank = static_cast<request_priority>(2);
  static constexpr int kSlots = 12;
  static constexpr milliseconds kStep{15};
  static constexpr milliseconds kNearTime{300};
  static constexpr milliseconds kFarTime{110};

  manual_clock clock;
  random_source random{11};
  std::vector<upstream> upstreams;
  upstream_chooser chooser{{"near-hall", "one-region"}};
  std::deque<ending> ends;
  std::map<request_priority, int> asked;
  std::map<request_priority, int> left;
  std::size_t bytes_between = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(distant_offer_suite)

BOOST_AUTO_TEST_CASE(LatenessGrowsWithTheExpectedTime) {
  const milliseconds objective{400};
  BOOST_TEST(LatenessProbability(milliseconds{100}, objective) == 0.0);
  BOOST_TEST(LatenessProbability(milliseconds{400}, objective) > 0.4);
  BOOST_TEST(LatenessProbability(milliseconds{300}, objective) <
             LatenessProbability(milliseconds{400}, objective));
  BOOST_TEST(LatenessProbability(milliseconds{800}, objective) == 1.0);
  BOOST_TEST(LatenessProbability(milliseconds{1}, milliseconds{0}) == 1.0);
}

BOOST_AUTO_TEST_CASE(WhatIsOnTimeStays) {
  BOOST_TEST(!IsSpillOverWorthwhile(
      OfferOf(milliseconds{230}, milliseconds{20}, kShort)));
}

BOOST_AUTO_TEST_CASE(AShortMessageGoesWhereALongOneStays) {
  const milliseconds near{330};
  const milliseconds far{110};
  BOOST_TEST(IsSpillOverWorthwhile(OfferOf(near, far, kShort)));
  BOOST_TEST(!IsSpillOverWorthwhile(OfferOf(near, far, kLong)));
}

BOOST_AUTO_TEST_CASE(WhatIsSurelyLateGoesHoweverLong) {
  BOOST_TEST(IsSpillOverWorthwhile(
      OfferOf(milliseconds{600}, milliseconds{110}, 1'000'000)));
}

BOOST_AUTO_TEST_CASE(NothingGoesWhereItWouldBeAsLate) {
  BOOST_TEST(!IsSpillOverWorthwhile(
      OfferOf(milliseconds{600}, milliseconds{590}, kShort)));
}

BOOST_AUTO_TEST_CASE(FailuresCountAsLatenessDoes) {
  spill_over_comparison offer =
      OfferOf(milliseconds{100}, milliseconds{100}, kShort);
  offer.near_failure_share = 0.5;
  BOOST_TEST(IsSpillOverWorthwhile(offer));
  offer.far_failure_share = 0.4;
  BOOST_TEST(!IsSpillOverWorthwhile(offer));
}

BOOST_AUTO_TEST_CASE(AnotherRegionAsksForMore) {
  spill_over_comparison offer =
      OfferOf(milliseconds{330}, milliseconds{110}, kShort);
  offer.crosses_region = true;
  BOOST_TEST(!IsSpillOverWorthwhile(offer));
}

BOOST_FIXTURE_TEST_CASE(ASlowDomainSendsItsShortRequestsAway, slow_domain) {
  Run(4'000);
  // `carried` is the share of all requests that the near upstream has capacity
  // for; the excess must leave, taken from the short requests (3 in 4).
  const double carried = SecondsOf(kStep) * kSlots / SecondsOf(kNearTime);
  BOOST_TEST(LeftShare(kShortRank) > 0.9 * (1.0 - carried) / 0.75);
  BOOST_TEST(LeftShare(kLongRank) < 0.02);
}

BOOST_FIXTURE_TEST_CASE(BeforeAnythingIsKnownRequestsStayNear, slow_domain) {
  for (int count = 0; count < 30; ++count) {
    Send(kLongRank, kLong);
  }
  BOOST_TEST(left[kLongRank] == 0);
}

// Guards against attempts at owners that are sure to refuse. In a burst over
// all failure domains such an attempt costs traffic between them and makes the
// caller wait for a refusal that was foreseeable.
BOOST_FIXTURE_TEST_CASE(AnOwnerThatWouldRefuseIsNotAsked, slow_domain) {
  const auto ask = [&](milliseconds far_wait,
                       milliseconds objective_left) -> std::string {
    const milliseconds service{200};
    chooser.RecordReportedLoad(clock.Now(), "near-hall",
                               {kShortRank, seconds{1}, service, kSlots, {}});
    chooser.RecordReportedLoad(clock.Now(), "far-hall",
                               {kShortRank, far_wait, service, kSlots, {}});
    const auto choice =
        chooser.Choose(clock.Now(), upstreams, {}, seconds{0}, random,
                       {.rank = kShortRank,
                        .longest_wait = milliseconds{400},
                        .objective_left = objective_left,
                        .bytes = kShort});
    return choice ? choice->chosen->vm : "nobody";
  };
  const milliseconds fresh{400};
  ask({}, fresh);  // Reports on upstreams not yet passed to Choose() are lost.
  BOOST_TEST(ask(milliseconds{95}, fresh) == "far-hall");
  BOOST_TEST(ask(milliseconds{105}, fresh) == "nobody");
  BOOST_TEST(chooser.AreAllFull());
  // The report that explains the refusal.
  clock.Advance(milliseconds{7});
  const auto least = chooser.LeastReportedWait(clock.Now());
  BOOST_REQUIRE(least);
  BOOST_TEST(SecondsOf(least->wait) > 0.1);
  BOOST_TEST(SecondsOf(least->wait) < 0.11);
  BOOST_TEST((least->age == milliseconds{7}));
  // A late request may still fill a free near slot that no report shows.
  BOOST_TEST(ask(milliseconds{500}, milliseconds{0}) == "near-hall");
}

// Guards against trusting an old report while a failure domain fills up: one
// owner's report of half a second ago must be corrected by the newer reports of
// the other owners in its failure domain.
BOOST_FIXTURE_TEST_CASE(OldWordsGiveWayToTheDomains, slow_domain) {
  upstream other = upstreams.front();
  other.vm = "near-other";
  upstreams.push_back(other);
  const milliseconds service{200};
  const placement_criteria wish{.rank = kShortRank,
                                .longest_wait = milliseconds{400},
                                .objective_left = milliseconds{400},
                                .bytes = kLong};
  const auto choose = [&](std::span<const upstream* const> tried) {
    return chooser.Choose(clock.Now(), upstreams, tried, seconds{0}, random,
                          wish);
  };
  choose({});
  const auto tell = [&](const char* vm, milliseconds wait) {
    chooser.RecordReportedLoad(clock.Now(), vm,
                               {kShortRank, wait, service, kSlots, {}});
  };
  tell("far-hall", milliseconds{0});
  tell("near-other", milliseconds{70});
  clock.Advance(milliseconds{500});
  for (int count = 0; count < 20; ++count) {
    tell("near-hall", milliseconds{190});
  }
  const std::vector<const upstream*> tried{&upstreams.front()};
  const auto choice = choose(tried);
  BOOST_REQUIRE(choice);
  BOOST_TEST(choice->chosen->vm == "far-hall");
}

// Guards against asking each owner of a full failure domain in turn. In a large
// fleet a node calls each far owner too seldom to know its load, so that it
// must go by the reports of the other owners in that failure domain.
BOOST_FIXTURE_TEST_CASE(OwnersOfAFullDomainAreNotAskedOneByOne, slow_domain) {
  for (int number = 0; number < 20; ++number) {
    upstream made = upstreams.back();
    made.vm = "far-" + std::to_string(number);
    upstreams.push_back(made);
  }
  const milliseconds service{200};
  int refused = 0;
  for (int request = 0; request < 400; ++request) {
    clock.Advance(milliseconds{10});
    std::vector<const upstream*> tried{&upstreams.front()};
    const auto choice =
        chooser.Choose(clock.Now(), upstreams, tried, seconds{0}, random,
                       {.rank = kShortRank,
                        .longest_wait = milliseconds{400},
                        .objective_left = milliseconds{400},
                        .bytes = kShort});
    if (choice) {
      ++refused;
      const std::string vm = choice->chosen->vm;
      chooser.Begin(vm);
      chooser.End(clock.Now(), vm, attempt_signal::kOwnerRefused,
                  milliseconds{3});
      chooser.RecordReportedLoad(
          clock.Now(), vm,
          {kShortRank, milliseconds{300}, service, kSlots, {}});
    }
  }
  BOOST_TEST(refused > 0);
  BOOST_TEST(refused < 20);
}

// Guards against taking far upstreams without a known failure share for healthy
// ones, when all upstreams fail alike.
BOOST_FIXTURE_TEST_CASE(AFailingDomainIsNoBetterWhereItIsUnknown, slow_domain) {
  for (int number = 0; number < 20; ++number) {
    upstream made = upstreams.back();
    made.vm = "far-" + std::to_string(number);
    upstreams.push_back(made);
  }
  int away = 0;
  for (int request = 0; request < 400; ++request) {
    clock.Advance(milliseconds{10});
    const auto choice =
        chooser.Choose(clock.Now(), upstreams, {}, seconds{0}, random,
                       {.rank = kShortRank,
                        .longest_wait = milliseconds{400},
                        .objective_left = milliseconds{400},
                        .bytes = kLong});
    BOOST_REQUIRE(choice);
    const std::string vm = choice->chosen->vm;
    away += vm == "near-hall" ? 0 : 1;
    // Every backend server sheds half of its requests.
    const auto sign =
        request % 2 == 0 ? attempt_signal::kShed : attempt_signal::kGood;
    chooser.Begin(vm);
    chooser.End(clock.Now(), vm, sign, milliseconds{100});
    chooser.RecordReportedLoad(clock.Now(), vm,
                               {kShortRank, {}, milliseconds{100}, kSlots, {}});
  }
  // Failure shares vary around a half by chance alone, which moves up to a
  // quarter of the 400 requests.
  BOOST_TEST(away < 100);
}

BOOST_AUTO_TEST_CASE(AnswerSizesAreLearnedByRoute) {
  exchange_sizes sizes;
  BOOST_TEST(sizes.ExpectedAnswerBytes("pages") == 0U);
  sizes.Learn("pages", 400);
  sizes.Learn("signatures", 1'500);
  BOOST_TEST(sizes.ExpectedAnswerBytes("pages") == 400U);
  for (int count = 0; count < 100; ++count) {
    sizes.Learn("pages", 800);
  }
  BOOST_TEST(sizes.ExpectedAnswerBytes("pages") > 750U);
  BOOST_TEST(sizes.ExpectedAnswerBytes("signatures") == 1'500U);
}

BOOST_AUTO_TEST_SUITE_END()
