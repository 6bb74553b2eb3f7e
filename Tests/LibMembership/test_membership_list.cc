#include <boost/test/unit_test.hpp>

#include "Tests/LibMembership/membership_fixture.h"

// One case for each way in which the platform's lagging list could mislead a
// node about a VM.

namespace wagtailmount {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(membership_list_suite)

BOOST_AUTO_TEST_CASE(ListedLiveDoesNotBringBackAVmThatLeaves) {
  membership_fixture fixture;
  fixture.Announce(Vm("a"));
  fixture.Announce(Vm("a", "fsd-hall", 1'000, vm_state::kLeaving));
  for (int i = 0; i < 30; ++i) {
    fixture.MergeList({Vm("a"), Vm("self")});
    fixture.Run(minutes{1});
    BOOST_TEST((fixture.StateOf("a") == vm_state::kLeaving));
  }
  fixture.Announce(Vm("a", "fsd-hall", 1'000, vm_state::kGone));
  for (int i = 0; i < 60; ++i) {
    fixture.MergeList({Vm("a"), Vm("self")});
    fixture.Run(minutes{1});
    BOOST_TEST((fixture.StateOf("a") == vm_state::kGone));
  }
  BOOST_TEST(fixture.UpstreamAt("a") == nullptr);
}

BOOST_AUTO_TEST_CASE(OutdatedLeavingAndAbsenceDoNotAffectAReplacement) {
  membership_fixture fixture;
  fixture.Announce(Vm("b"));
  fixture.Announce(Vm("c"));
  fixture.Announce(Vm("a", "fsd-hall", 1'000, vm_state::kGone));
  fixture.MergeList({Vm("a"), Vm("b"), Vm("c"), Vm("self")});
  fixture.Announce(Vm("a", "fsd-hall", 2'000));
  // The list still describes the previous incarnation: leaving, then absent.
  const vm_record leaving = Vm("a", "fsd-hall", 0, vm_state::kLeaving);
  for (int i = 0; i < 4; ++i) {
    fixture.MergeList(i < 2 ? std::vector{leaving, Vm("b"), Vm("c"), Vm("self")}
                            : std::vector{Vm("b"), Vm("c"), Vm("self")});
    fixture.Run(minutes{1});
    BOOST_TEST((fixture.StateOf("a") == vm_state::kServing));
  }
  BOOST_TEST(fixture.UpstreamAt("a")->is_leaving == false);
}

BOOST_AUTO_TEST_CASE(TheListCountsAgainstAnIncarnationOlderThanItsLag) {
  membership_fixture fixture;
  for (const char* vm : {"a", "b", "c", "d"}) {
    fixture.Announce(Vm(vm));
  }
  fixture.MergeList({Vm("a"), Vm("b"), Vm("c"), Vm("d"), Vm("self")});
  fixture.Run(minutes{6});
  const vm_record leaving = Vm("a", "fsd-hall", 0, vm_state::kLeaving);
  fixture.MergeList({leaving, Vm("c"), Vm("d"), Vm("self")});
  BOOST_TEST((fixture.StateOf("a") == vm_state::kLeaving));
  BOOST_TEST((fixture.StateOf("b") == vm_state::kServing));
  fixture.Run(minutes{2});
  fixture.MergeList({leaving, Vm("c"), Vm("d"), Vm("self")});
  BOOST_TEST((fixture.StateOf("b") == vm_state::kGone));
  BOOST_TEST((fixture.StateOf("c") == vm_state::kServing));
}

BOOST_AUTO_TEST_CASE(AReachableVmThatIsNotListedIsNotDeclaredGone) {
  membership_fixture fixture;
  for (const char* vm : {"a", "b", "c"}) {
    fixture.Announce(Vm(vm));
  }
  fixture.MarkReachable("a");
  for (int i = 0; i < 20; ++i) {
    fixture.MergeList({Vm("b"), Vm("c"), Vm("self")});
    fixture.Run(minutes{1});
  }
  BOOST_TEST((fixture.StateOf("a") == vm_state::kServing));
}

BOOST_AUTO_TEST_CASE(AbsenceOfMostOfADomainCountsOnlyAfterAnHour) {
  membership_fixture fixture;
  std::vector<vm_record> all;
  for (const char* vm : {"a", "b", "c", "d"}) {
    fixture.Announce(Vm(vm, "lhr-hall"));
  }
  fixture.Run(minutes{10});
  fixture.MergeList({Vm("a", "lhr-hall")});
  fixture.Run(minutes{5});
  fixture.MergeList({Vm("a", "lhr-hall")});
  BOOST_TEST((fixture.StateOf("b") == vm_state::kServing));
  fixture.Run(hours{1});
  fixture.MergeList({Vm("a", "lhr-hall")});
  BOOST_TEST((fixture.StateOf("b") == vm_state::kGone));
}

BOOST_AUTO_TEST_CASE(AnOlderListIsIgnored) {
  membership_fixture fixture;
  const std::vector<vm_record> newer = {Vm("a"), Vm("self")};
  const std::vector<vm_record> older = {Vm("z")};
  fixture.table.MergePlatformList(fixture.clock.Now(), newer, 9);
  fixture.table.MergePlatformList(fixture.clock.Now(), older, 8);
  BOOST_TEST(fixture.table.Find("z") == nullptr);
  BOOST_TEST(fixture.table.Counters().outdated_lists == 1U);
}

BOOST_AUTO_TEST_CASE(VmsNamedOnlyByTheListAreNotPassedOnAndAreSuspect) {
  membership_fixture fixture;
  fixture.table.TakeDelta(10);
  const auto hash = fixture.table.Hash();
  fixture.MergeList({Vm("a"), Vm("self")});
  BOOST_TEST(fixture.table.DeltaSize() == 0U);
  BOOST_TEST(fixture.table.Hash() == hash);
  BOOST_TEST(fixture.IsSuspect("a"));
  fixture.MergeList({Vm("a", "fsd-hall", 0, vm_state::kLeaving), Vm("self")});
  BOOST_TEST(fixture.UpstreamAt("a")->is_leaving);
  BOOST_TEST(fixture.table.DeltaSize() == 0U);
  fixture.MergeList({Vm("self")});
  BOOST_TEST(fixture.table.Find("a") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
