#include <boost/test/unit_test.hpp>

#include "Tests/LibSpread/spread_fleet.h"
#include "Tests/LibSpread/versions.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::BadFolderAt;
using testing::fleet_settings;
using testing::FolderAt;
using testing::spread_fleet;

/// The required time in which an accepted version is in force on every node.
constexpr seconds kConvergenceBound{7};

void RequireNoViolations(const spread_fleet& fleet) {
  for (const auto& violation : fleet.violations) {
    BOOST_ERROR(violation);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(spread_fleet_suite)

BOOST_AUTO_TEST_CASE(AcceptedVersionsReachEveryNodeThroughLossAndReordering) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    spread_fleet fleet({.seed = seed, .loss = 0.05});
    fleet.Run(seconds{2});
    std::uint64_t revision = 1;
    for (; revision <= 20; ++revision) {
      fleet.Publish(revision, FolderAt(revision), revision % 64);
      fleet.Run(milliseconds{300});
    }
    fleet.Run(kConvergenceBound);
    BOOST_TEST(fleet.CountHolding(20) == 64U);
    RequireNoViolations(fleet);
  }
}

BOOST_AUTO_TEST_CASE(ThousandNodesReceiveEachChangedFileOnce) {
  spread_fleet fleet({.vms = 1000, .domains = 13, .regions = 5, .seed = 3});
  fleet.Run(seconds{2});
  fleet.Publish(1, FolderAt(1), 0);
  fleet.Run(kConvergenceBound);
  BOOST_TEST(fleet.CountHolding(1) == 1000U);
  const auto before = fleet.Sum(&spread_counters::bodies_received);
  fleet.Publish(2, FolderAt(2), 17);
  fleet.Run(kConvergenceBound);
  BOOST_TEST(fleet.CountHolding(2) == 1000U);
  // Revision 2 differs from 1 in two service files and the route file.
  const auto bodies = fleet.Sum(&spread_counters::bodies_received) - before;
  BOOST_TEST(bodies == 999U * 3U);
  RequireNoViolations(fleet);
}

BOOST_AUTO_TEST_CASE(
    RefusedVersionsComeInForceNowhereAndAreReportedEverywhere) {
  spread_fleet fleet({.seed = 5});
  fleet.Run(seconds{2});
  fleet.Publish(1, FolderAt(1), 0);
  fleet.Run(seconds{5});
  fleet.Publish(2, BadFolderAt(2), 3);
  fleet.Run(seconds{5});
  BOOST_TEST(fleet.CountHolding(1) == 64U);
  BOOST_TEST(fleet.refusals == 64U);
  fleet.Publish(3, FolderAt(3), 3);
  fleet.Run(kConvergenceBound);
  BOOST_TEST(fleet.CountHolding(3) == 64U);
  RequireNoViolations(fleet);
}

BOOST_AUTO_TEST_CASE(HealedPartitionConvergesFromDifferentRevisions) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    spread_fleet fleet({.seed = seed, .loss = 0.02});
    fleet.Run(seconds{2});
    fleet.Publish(1, FolderAt(1), 0);
    fleet.Run(seconds{5});
    fleet.Partition(
        [](const spread_fleet::node& each) { return each.domain == "d1"; });
    fleet.Publish(2, FolderAt(2), 1);  // Read in the separated domain.
    fleet.Publish(3, FolderAt(3), 0);  // Read in the other domains.
    fleet.Run(seconds{8});
    BOOST_TEST(fleet.CountHolding(2) == 16U);
    BOOST_TEST(fleet.CountHolding(3) == 48U);
    fleet.HealPartition();
    fleet.Run(kConvergenceBound);
    BOOST_TEST(fleet.CountHolding(3) == 64U);
    RequireNoViolations(fleet);
  }
}

BOOST_AUTO_TEST_CASE(RestartsOfManyNodesNeverServeOlderVersions) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    spread_fleet fleet({.seed = seed, .loss = 0.02});
    random_source random(seed);
    fleet.Run(seconds{2});
    for (std::uint64_t revision = 1; revision <= 12; ++revision) {
      fleet.Publish(revision, FolderAt(revision), 0);
      fleet.Run(milliseconds{50 + 100 * random.Below(10)});
      std::set<std::size_t> killed;
      while (killed.size() < 12) {
        killed.insert(1 + random.Below(63));
      }
      for (const auto each : killed) {
        fleet.Kill(each);
      }
      fleet.Run(milliseconds{100 * random.Below(20)});
      for (const auto each : killed) {
        fleet.Restart(each);
      }
    }
    fleet.Run(kConvergenceBound);
    BOOST_TEST(fleet.CountHolding(12) == 64U);
    RequireNoViolations(fleet);
  }
}

BOOST_AUTO_TEST_CASE(RestartedVmWithAStaleSourceWaitsForItsLastVersion) {
  spread_fleet fleet({.seed = 4});
  fleet.Run(seconds{2});
  fleet.Publish(1, FolderAt(1), 0);
  fleet.Publish(2, FolderAt(2), 0);
  fleet.Run(seconds{5});
  fleet.Kill(9);
  fleet.Run(seconds{1});
  fleet.Restart(9);
  // The platform returns a stale snapshot before any peer has answered.
  fleet.ReadAt(9, 1, FolderAt(1));
  fleet.Run(kConvergenceBound);
  BOOST_TEST(fleet.CountHolding(2) == 64U);
  RequireNoViolations(fleet);
}

BOOST_AUTO_TEST_CASE(PausedNodesCatchUpAndDowngradeNobody) {
  spread_fleet fleet({.seed = 6});
  fleet.Run(seconds{2});
  fleet.Publish(1, FolderAt(1), 0);
  fleet.Run(seconds{5});
  for (std::size_t i = 10; i < 20; ++i) {
    fleet.Pause(i);
  }
  for (std::uint64_t revision = 2; revision <= 4; ++revision) {
    fleet.Publish(revision, FolderAt(revision), 0);
    fleet.Run(seconds{10});
    BOOST_TEST(fleet.CountHolding(revision) == 54U);
  }
  for (std::size_t i = 10; i < 20; ++i) {
    fleet.Resume(i);
  }
  fleet.Run(kConvergenceBound);
  BOOST_TEST(fleet.CountHolding(4) == 64U);
  RequireNoViolations(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
