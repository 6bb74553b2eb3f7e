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

constexpr std::size_t kShortBytes = 1'000;
constexpr std::size_t kLongBytes = 6'000;

spill_over_comparison MakeComparison(milliseconds near_time,
                                     milliseconds far_time, std::size_t bytes) {
  return {.near_time = near_time,
          .far_time = far_time,
          .objective_left = milliseconds{400},
          .bytes = bytes};
}

// A failure domain whose only upstream is too slow for its callers. Each step
// sends one request, every fourth with a long message; the near upstream runs
// kSlots requests at a time, the far one has no queue.
struct slow_domain_fixture {
  slow_domain_fixture() {
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
      while (!completions.empty() && completions.front().at <= clock.Now()) {
        chooser.End(clock.Now(), "near-hall", attempt_signal::kGood, kNearTime);
        ReportLoad(completions.front().rank);
        completions.pop_front();
      }
      const bool is_long = step % 4 == 0;
      Send(is_long ? kLongRank : kShortRank,
           is_long ? kLongBytes : kShortBytes);
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
    ++sent[rank];
    if (choice->chosen->vm == "near-hall") {
      // It runs kSlots requests at a time, the long ones first.
      const auto before = std::count_if(
          completions.begin(), completions.end(),
          [&](const completion& each) { return each.rank <= rank; });
      const auto wait = before < kSlots
                            ? milliseconds{0}
                            : kNearTime * (before - kSlots + 1) / kSlots;
      const completion made{clock.Now() + kNearTime + wait, rank};
      completions.insert(
          std::upper_bound(completions.begin(), completions.end(), made,
                           [](const completion& one, const completion& other) {
                             return one.at < other.at;
                           }),
          made);
      return;
    }
    ++sent_away[rank];
    bytes_between += bytes;
    chooser.End(clock.Now(), "far-hall", attempt_signal::kGood, kFarTime);
    chooser.RecordReportedLoad(clock.Now(), "far-hall",
                               {rank, {}, kFarTime, kSlots, {}});
  }

  void ReportLoad(request_priority rank) {
    const auto queued = std::max<std::ptrdiff_t>(
        0, static_cast<std::ptrdiff_t>(completions.size()) - kSlots);
    const auto wait =
        rank == kLongRank ? milliseconds{0} : kNearTime * queued / kSlots;
    chooser.RecordReportedLoad(clock.Now(), "near-hall",
                               {rank, wait, kNearTime, kSlots, {}});
  }

  double SentAwayShare(request_priority rank) {
    return 1.0 * sent_away[rank] / std::max(1, sent[rank]);
  }

  struct completion {
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
  std::deque<completion> completions;
  std::map<request_priority, int> sent;
  std::map<request_priority, int> sent_away;
  std::size_t bytes_between = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(spill_over_comparison_suite)

BOOST_AUTO_TEST_CASE(LatenessProbabilityGrowsWithExpectedTime) {
  const milliseconds objective{400};
  BOOST_TEST(LatenessProbability(milliseconds{100}, objective) == 0.0);
  BOOST_TEST(LatenessProbability(milliseconds{400}, objective) > 0.4);
  BOOST_TEST(LatenessProbability(milliseconds{300}, objective) <
             LatenessProbability(milliseconds{400}, objective));
  BOOST_TEST(LatenessProbability(milliseconds{800}, objective) == 1.0);
  BOOST_TEST(LatenessProbability(milliseconds{1}, milliseconds{0}) == 1.0);
}

BOOST_AUTO_TEST_CASE(RequestExpectedInTimeStaysNear) {
  BOOST_TEST(!IsSpillOverWorthwhile(
      MakeComparison(milliseconds{230}, milliseconds{20}, kShortBytes)));
}

BOOST_AUTO_TEST_CASE(ShortMessageMovesWhereLongOneStays) {
  const milliseconds near{330};
  const milliseconds far{110};
  BOOST_TEST(IsSpillOverWorthwhile(MakeComparison(near, far, kShortBytes)));
  BOOST_TEST(!IsSpillOverWorthwhile(MakeComparison(near, far, kLongBytes)));
}

BOOST_AUTO_TEST_CASE(RequestCertainToBeLateMovesAtAnySize) {
  BOOST_TEST(IsSpillOverWorthwhile(
      MakeComparison(milliseconds{600}, milliseconds{110}, 1'000'000)));
}

BOOST_AUTO_TEST_CASE(RequestStaysIfFartherUpstreamIsAsLate) {
  BOOST_TEST(!IsSpillOverWorthwhile(
      MakeComparison(milliseconds{600}, milliseconds{590}, kShortBytes)));
}

BOOST_AUTO_TEST_CASE(FailuresCountLikeLateness) {
  spill_over_comparison comparison =
      MakeComparison(milliseconds{100}, milliseconds{100}, kShortBytes);
  comparison.near_failure_share = 0.5;
  BOOST_TEST(IsSpillOverWorthwhile(comparison));
  comparison.far_failure_share = 0.4;
  BOOST_TEST(!IsSpillOverWorthwhile(comparison));
}

BOOST_AUTO_TEST_CASE(AnotherRegionRequiresMoreGain) {
  spill_over_comparison comparison =
      MakeComparison(milliseconds{330}, milliseconds{110}, kShortBytes);
  comparison.crosses_region = true;
  BOOST_TEST(!IsSpillOverWorthwhile(comparison));
}

BOOST_FIXTURE_TEST_CASE(SlowDomainSendsShortRequestsElsewhere,
                        slow_domain_fixture) {
  Run(4'000);
  // `carried` is the share of all requests that the near upstream has capacity
  // for; the excess must leave, taken from the short requests (3 in 4).
  const double carried = SecondsOf(kStep) * kSlots / SecondsOf(kNearTime);
  BOOST_TEST(SentAwayShare(kShortRank) > 0.9 * (1.0 - carried) / 0.75);
  BOOST_TEST(SentAwayShare(kLongRank) < 0.02);
}

BOOST_FIXTURE_TEST_CASE(RequestsStayNearBeforeAnyReport, slow_domain_fixture) {
  for (int count = 0; count < 30; ++count) {
    Send(kLongRank, kLongBytes);
  }
  BOOST_TEST(sent_away[kLongRank] == 0);
}

// Guards against attempts at owners that are sure to refuse. In a burst over
// all failure domains such an attempt costs traffic between them and makes the
// caller wait for a refusal that was foreseeable.
BOOST_FIXTURE_TEST_CASE(OwnerExpectedToRefuseIsNotCalled, slow_domain_fixture) {
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
                        .bytes = kShortBytes});
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
BOOST_FIXTURE_TEST_CASE(OldReportGivesWayToDomainAverage, slow_domain_fixture) {
  upstream other = upstreams.front();
  other.vm = "near-other";
  upstreams.push_back(other);
  const milliseconds service{200};
  const placement_criteria criteria{.rank = kShortRank,
                                    .longest_wait = milliseconds{400},
                                    .objective_left = milliseconds{400},
                                    .bytes = kLongBytes};
  const auto choose = [&](std::span<const upstream* const> tried) {
    return chooser.Choose(clock.Now(), upstreams, tried, seconds{0}, random,
                          criteria);
  };
  choose({});
  const auto report_load = [&](const char* vm, milliseconds wait) {
    chooser.RecordReportedLoad(clock.Now(), vm,
                               {kShortRank, wait, service, kSlots, {}});
  };
  report_load("far-hall", milliseconds{0});
  report_load("near-other", milliseconds{70});
  clock.Advance(milliseconds{500});
  for (int count = 0; count < 20; ++count) {
    report_load("near-hall", milliseconds{190});
  }
  const std::vector<const upstream*> tried{&upstreams.front()};
  const auto choice = choose(tried);
  BOOST_REQUIRE(choice);
  BOOST_TEST(choice->chosen->vm == "far-hall");
}

// Guards against asking each owner of a full failure domain in turn. In a large
// fleet a node calls each far owner too seldom to know its load, so that it
// must go by the reports of the other owners in that failure domain.
BOOST_FIXTURE_TEST_CASE(OwnersOfFullDomainAreNotCalledInTurn,
                        slow_domain_fixture) {
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
                        .bytes = kShortBytes});
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
BOOST_FIXTURE_TEST_CASE(UnknownUpstreamsTakeTheFailureShareOfTheirDomain,
                        slow_domain_fixture) {
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
                        .bytes = kLongBytes});
    BOOST_REQUIRE(choice);
    const std::string vm = choice->chosen->vm;
    away += vm == "near-hall" ? 0 : 1;
    // Every backend server sheds half of its requests.
    const auto signal =
        request % 2 == 0 ? attempt_signal::kShed : attempt_signal::kGood;
    chooser.Begin(vm);
    chooser.End(clock.Now(), vm, signal, milliseconds{100});
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
