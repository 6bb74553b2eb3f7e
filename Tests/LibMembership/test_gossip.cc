#include <boost/test/unit_test.hpp>

#include "Tests/LibMembership/simulated_gossip.h"

namespace wagtailmount {

namespace {

constexpr std::uint64_t kSeeds = 6;
constexpr std::size_t kVms = simulated_gossip::kVms;

/// Starts a random VM if it is stopped; otherwise kills it, replaces its
/// process, pauses it or lets it leave.
void DisturbRandomVm(simulated_gossip& gossip) {
  const std::size_t i = gossip.Random().Below(kVms);
  if (!gossip.IsAlive(i)) {
    gossip.Start(i);
    return;
  }
  if (gossip.IsPaused(i)) {
    return;
  }
  switch (gossip.Random().Below(4)) {
    case 0:
      gossip.Kill(i);
      break;
    case 1:
      // The process is replaced at once, without announcing that it leaves.
      gossip.Start(i);
      break;
    case 2:
      gossip.Pause(i, 5 + gossip.Random().Below(60));
      break;
    case 3:
      gossip.Leave(i);
      break;
  }
}

void Run(simulated_gossip& gossip, int steps) {
  for (int step = 0; step < steps; ++step) {
    gossip.Step();
  }
}

bool HaveEqualHashes(const simulated_gossip& gossip) {
  for (std::size_t i = 0; i < kVms; ++i) {
    if (gossip.TableOf(i).Hash() != gossip.TableOf(0).Hash()) {
      return false;
    }
  }
  return true;
}

/// Checks that all running VMs hold the same table, and that it has exactly the
/// current records of the running VMs.
void CheckConverged(const simulated_gossip& gossip) {
  std::optional<std::uint64_t> hash;
  for (std::size_t i = 0; i < kVms; ++i) {
    if (!gossip.IsAlive(i)) {
      continue;
    }
    const membership& table = gossip.TableOf(i);
    hash = hash ? hash : table.Hash();
    BOOST_TEST(table.Hash() == *hash, "vm-" << i);
    for (std::size_t other = 0; other < kVms; ++other) {
      const vm_record* record = table.Find(simulated_gossip::NameOf(other));
      const bool is_present =
          record != nullptr && record->state != vm_state::kGone;
      const bool is_correct =
          gossip.IsAlive(other)
              ? is_present && *record == gossip.TableOf(other).Self()
              : !is_present;
      BOOST_TEST(
          is_correct,
          "vm-" << other << " in the table of vm-" << i << " is "
                << (record == nullptr ? "unknown" : NameOf(record->state)));
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(gossip_suite)

BOOST_AUTO_TEST_CASE(TablesConvergeOverALossyNetwork) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      simulated_gossip gossip(seed);
      Run(gossip, 30);
      CheckConverged(gossip);
      for (int i = 0; i < 60; ++i) {
        DisturbRandomVm(gossip);
        Run(gossip, 3);
      }
      gossip.StopLeavingVms();
      Run(gossip, 180);
      CheckConverged(gossip);
    }
  }
}

BOOST_AUTO_TEST_CASE(APartitionDeclaresNoVmGoneAndTablesConvergeAfterIt) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      simulated_gossip gossip(seed);
      Run(gossip, 30);
      gossip.PartitionDomain(2);
      Run(gossip, 120);
      for (std::size_t i = 0; i < kVms; ++i) {
        BOOST_TEST(gossip.TableOf(i).Size() == kVms);
        BOOST_TEST(gossip.TableOf(i).Counters().declared_gone == 0U);
      }
      gossip.Kill(45);
      gossip.Leave(3);
      Run(gossip, 60);
      gossip.StopLeavingVms();
      gossip.PartitionDomain(std::nullopt);
      Run(gossip, 60);
      CheckConverged(gossip);
    }
  }
}

// A third of the VMs restart at the same time. A lower fanout sends fewer
// copies of each record; repairs after comparing hashes deliver what was
// missed.
BOOST_AUTO_TEST_CASE(MassRestartReachesAllVmsWithALowFanout) {
  for (const std::size_t fanout :
       {std::size_t{2}, std::size_t{4}, simulated_gossip::kPeers}) {
    simulated_gossip gossip(1, fanout);
    Run(gossip, 90);
    CheckConverged(gossip);
    const auto sent_before = gossip.RecordsSent();
    for (std::size_t i = 0; i < kVms; i += 3) {
      gossip.Start(i);
    }
    int steps = 0;
    while (!HaveEqualHashes(gossip) && steps < 120) {
      gossip.Step();
      ++steps;
    }
    BOOST_TEST_MESSAGE("fanout " << fanout << ": after " << steps << " s, "
                                 << (gossip.RecordsSent() - sent_before) / kVms
                                 << " records sent by each VM");
    BOOST_TEST(steps < 60);
    CheckConverged(gossip);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
