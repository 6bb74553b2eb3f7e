#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iterator>
#include <numeric>
#include <string>
#include <vector>

#include "LibSource/read_budget.h"
#include "LibSource/reader_selection.h"
#include "LibSource/retry_backoff.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr double kPlatformRate = 2'000;
constexpr std::size_t kDesignSize = 22'000;

std::vector<read_budget> CreateBudgets(std::size_t size, time_point now) {
  std::vector<read_budget> budgets;
  for (std::size_t i = 0; i < size; ++i) {
    random_source random(i);
    budgets.emplace_back(
        read_budget::settings{"vm-" + std::to_string(i), kPlatformRate, size},
        now, random);
  }
  return budgets;
}

/// Returns the calls made in each of `count` seconds when every node uses every
/// permit that it can take.
std::vector<std::uint64_t> CallsInEachSecond(std::vector<read_budget>& budgets,
                                             time_point from, int count) {
  std::vector<std::uint64_t> calls;
  for (int second = 0; second < count; ++second) {
    std::uint64_t taken = 0;
    for (int step = 0; step < 10; ++step) {
      const time_point now = from + seconds{second} + step * milliseconds{100};
      for (auto& budget : budgets) {
        while (budget.TryTake(now)) {
          ++taken;
        }
      }
    }
    calls.push_back(taken);
  }
  return calls;
}

vm_record Vm(const std::string& vm, vm_state state = vm_state::kServing) {
  vm_record record;
  record.vm = vm;
  record.failure_domain = "fsd-hall";
  record.incarnation = 1;
  record.state = state;
  return record;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(read_budget_suite)

BOOST_AUTO_TEST_CASE(SumOfSharesStaysUnderThePlatformsRate) {
  const time_point start{seconds{1'000}};
  for (const std::size_t size :
       {std::size_t{1}, std::size_t{12}, std::size_t{400}, kDesignSize}) {
    auto budgets = CreateBudgets(size, start);
    const auto calls = CallsInEachSecond(budgets, start, 20);
    const double mean = std::accumulate(calls.begin(), calls.end(), 0.0) / 20.0;
    const auto most = *std::max_element(calls.begin(), calls.end());
    BOOST_TEST_MESSAGE(size << " budgets: " << mean
                            << " calls/s on average, at most " << most
                            << " in a second");
    BOOST_TEST(static_cast<double>(most) <= kPlatformRate);
  }
}

BOOST_AUTO_TEST_CASE(IdleNodesDoNotAccumulateABurst) {
  const time_point start{seconds{1'000}};
  auto budgets = CreateBudgets(kDesignSize, start);
  const auto calls = CallsInEachSecond(budgets, start + minutes{60}, 5);
  BOOST_TEST(static_cast<double>(calls.front()) <= kPlatformRate);
}

BOOST_AUTO_TEST_CASE(FleetTwiceTheConfiguredSizeStaysNearThePlatformsRate) {
  const time_point start{seconds{1'000}};
  std::vector<read_budget> budgets;
  for (std::size_t i = 0; i < 2 * kDesignSize; ++i) {
    random_source random(i);
    budgets.emplace_back(read_budget::settings{"vm-" + std::to_string(i),
                                               kPlatformRate, kDesignSize},
                         start, random);
  }
  const auto calls = CallsInEachSecond(budgets, start, 10);
  const double mean = std::accumulate(calls.begin(), calls.end(), 0.0) / 10.0;
  BOOST_TEST(mean <= 1.2 * kPlatformRate);
}

BOOST_AUTO_TEST_CASE(NextPermitIsAvailableAtTheReportedTime) {
  random_source random(3);
  const time_point start{seconds{1'000}};
  read_budget budget({"vm-3", kPlatformRate, kDesignSize}, start, random);
  time_point now = start;
  for (int i = 0; i < 100; ++i) {
    const time_point next = budget.NextPermitAt(now);
    BOOST_TEST((next >= now));
    if (next > now) {
      BOOST_TEST(!budget.TryTake(next - milliseconds{1}));
    }
    BOOST_TEST(budget.TryTake(next));
    now = next;
    if (i == 50) {
      budget.SetFleetSize(kDesignSize / 2, now);
    }
  }
}

// An edit must be in force everywhere within 7 s, of which reading it may take
// 5 s. Reading takes up to seven calls: five pages of the listing, one file and
// the watch. A failure domain that is cut off from the others depends on its
// own readers, so nearly every domain needs one with a large enough share,
// whatever the VMs are named.
BOOST_AUTO_TEST_CASE(FailureDomainsOfADesignSizedFleetReadEditsInTime) {
  constexpr double kNeededCallsPerSecond = 7.0 / 5.0;
  constexpr int kFleets = 10;
  constexpr int kDomains = 13;
  int in_time = 0;
  for (int fleet = 0; fleet < kFleets; ++fleet) {
    double max_share[kDomains] = {};
    for (std::size_t i = 0; i < kDesignSize; ++i) {
      const std::string vm =
          "fleet-" + std::to_string(fleet) + "-" + std::to_string(i);
      const double share = read_budget::ShareOf(vm, kPlatformRate, kDesignSize);
      max_share[i % kDomains] = std::max(max_share[i % kDomains], share);
    }
    in_time += static_cast<int>(std::count_if(
        std::begin(max_share), std::end(max_share),
        [](double share) { return share >= kNeededCallsPerSecond; }));
  }
  BOOST_TEST_MESSAGE(in_time << " of " << kFleets * kDomains
                             << " failure domains read edits in time");
  BOOST_TEST(in_time >= kFleets * kDomains * 95 / 100);
}

BOOST_AUTO_TEST_CASE(LeavingAndUnannouncedVmsDoNotCountAsReaders) {
  std::vector<vm_record> all;
  for (int i = 0; i < 20; ++i) {
    all.push_back(Vm("vm-" + std::to_string(i)));
  }
  const auto last = *std::max_element(
      all.begin(), all.end(), [](const auto& left, const auto& right) {
        return ReaderHash(left.vm) < ReaderHash(right.vm);
      });
  BOOST_TEST(ReaderRank(last.vm, "fsd-hall", all) == 19U);
  BOOST_TEST(ReaderRank(last.vm, "lhr-hall", all) == 0U);
  std::sort(all.begin(), all.end(), [](const auto& left, const auto& right) {
    return ReaderHash(left.vm) < ReaderHash(right.vm);
  });
  for (std::size_t rank = 0; rank < all.size(); ++rank) {
    BOOST_TEST(ReaderRank(all[rank].vm, "fsd-hall", all) == rank);
  }
  for (auto& record : all) {
    record.state = vm_state::kLeaving;
  }
  BOOST_TEST(ReaderRank(last.vm, "fsd-hall", all) == 0U);
  for (auto& record : all) {
    record.state = vm_state::kServing;
    record.incarnation = 0;
  }
  BOOST_TEST(ReaderRank(last.vm, "fsd-hall", all) == 0U);
}

struct selection_case {
  std::size_t rank;
  seconds source_age;
  double jitter;
  bool reads;
};

BOOST_AUTO_TEST_CASE(HigherRanksStartReadingAsTheSourceAgeGrows) {
  const selection_case cases[] = {
      {0, seconds{0}, 0.9, true},    {2, seconds{0}, 0.9, true},
      {3, seconds{40}, 0.0, false},  {3, seconds{75}, 0.0, true},
      {3, seconds{77}, 0.9, false},  {3, seconds{80}, 0.9, true},
      {13, seconds{80}, 0.0, false}, {13, seconds{130}, 0.5, true},
  };
  for (const auto& one : cases) {
    BOOST_TEST(
        ShouldRead(one.rank, one.source_age, one.jitter, {}) == one.reads,
        "rank " << one.rank << " at " << one.source_age.count() << " s");
  }
}

BOOST_AUTO_TEST_CASE(BackoffGrowsWithJitterUpToABound) {
  random_source random(5);
  retry_backoff backoff(kDesignSize);
  duration longest{};
  duration shortest = minutes{10};
  for (int i = 0; i < 200; ++i) {
    const duration wait = backoff.NextWait(random);
    longest = i > 20 ? std::max(longest, wait) : longest;
    shortest = i > 20 ? std::min(shortest, wait) : shortest;
  }
  BOOST_TEST((longest <= seconds{90}));
  BOOST_TEST((longest > 2 * shortest));
  backoff.Reset();
  BOOST_TEST((backoff.NextWait(random) <= milliseconds{750}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
