#include <boost/test/unit_test.hpp>

#include "Tests/LibMembership/membership_rig.h"

// One case for each way in which the platform's lagging list could mislead a
// node about a VM.

namespace wagtailmount {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(membership_list_suite)

BOOST_AUTO_TEST_CASE(ListedLiveDoesNotBringBackAVmThatLeaves) {
  membership_rig rig;
  rig.Announce(Vm("a"));
  rig.Announce(Vm("a", "fsd-hall", 1'000, vm_state::kLeaving));
  for (int i = 0; i < 30; ++i) {
    rig.List({Vm("a"), Vm("self")});
    rig.Run(minutes{1});
    BOOST_TEST((rig.StateOf("a") == vm_state::kLeaving));
  }
  rig.Announce(Vm("a", "fsd-hall", 1'000, vm_state::kGone));
  for (int i = 0; i < 60; ++i) {
    rig.List({Vm("a"), Vm("self")});
    rig.Run(minutes{1});
    BOOST_TEST((rig.StateOf("a") == vm_state::kGone));
  }
  BOOST_TEST(rig.UpstreamAt("a") == nullptr);
}

BOOST_AUTO_TEST_CASE(OldLeavingAndAbsenceDoNotKillAReplacement) {
  membership_rig rig;
  rig.Announce(Vm("b"));
  rig.Announce(Vm("c"));
  rig.Announce(Vm("a", "fsd-hall", 1'000, vm_state::kGone));
  rig.List({Vm("a"), Vm("b"), Vm("c"), Vm("self")});
  rig.Announce(Vm("a", "fsd-hall", 2'000));
  // The list still describes the previous incarnation: leaving, then absent.
  const vm_record leaving = Vm("a", "fsd-hall", 0, vm_state::kLeaving);
  for (int i = 0; i < 4; ++i) {
    rig.List(i < 2 ? std::vector{leaving, Vm("b"), Vm("c"), Vm("self")}
                   : std::vector{Vm("b"), Vm("c"), Vm("self")});
    rig.Run(minutes{1});
    BOOST_TEST((rig.StateOf("a") == vm_state::kServing));
  }
  BOOST_TEST(rig.UpstreamAt("a")->is_leaving == false);
}

BOOST_AUTO_TEST_CASE(TheListsWordCountsAgainstAnOldIncarnation) {
  membership_rig rig;
  for (const char* vm : {"a", "b", "c", "d"}) {
    rig.Announce(Vm(vm));
  }
  rig.List({Vm("a"), Vm("b"), Vm("c"), Vm("d"), Vm("self")});
  rig.Run(minutes{6});
  const vm_record leaving = Vm("a", "fsd-hall", 0, vm_state::kLeaving);
  rig.List({leaving, Vm("c"), Vm("d"), Vm("self")});
  BOOST_TEST((rig.StateOf("a") == vm_state::kLeaving));
  BOOST_TEST((rig.StateOf("b") == vm_state::kServing));
  rig.Run(minutes{2});
  rig.List({leaving, Vm("c"), Vm("d"), Vm("self")});
  BOOST_TEST((rig.StateOf("b") == vm_state::kGone));
  BOOST_TEST((rig.StateOf("c") == vm_state::kServing));
}

BOOST_AUTO_TEST_CASE(AVmThatIsHeardIsNotGoneByItsAbsence) {
  membership_rig rig;
  for (const char* vm : {"a", "b", "c"}) {
    rig.Announce(Vm(vm));
  }
  rig.Heard("a");
  for (int i = 0; i < 20; ++i) {
    rig.List({Vm("b"), Vm("c"), Vm("self")});
    rig.Run(minutes{1});
  }
  BOOST_TEST((rig.StateOf("a") == vm_state::kServing));
}

BOOST_AUTO_TEST_CASE(AListThatLosesMostOfADomainIsNotBelievedSoon) {
  membership_rig rig;
  std::vector<vm_record> all;
  for (const char* vm : {"a", "b", "c", "d"}) {
    rig.Announce(Vm(vm, "lhr-hall"));
  }
  rig.Run(minutes{10});
  rig.List({Vm("a", "lhr-hall")});
  rig.Run(minutes{5});
  rig.List({Vm("a", "lhr-hall")});
  BOOST_TEST((rig.StateOf("b") == vm_state::kServing));
  rig.Run(hours{1});
  rig.List({Vm("a", "lhr-hall")});
  BOOST_TEST((rig.StateOf("b") == vm_state::kGone));
}

BOOST_AUTO_TEST_CASE(AnOlderListIsIgnored) {
  membership_rig rig;
  const std::vector<vm_record> newer = {Vm("a"), Vm("self")};
  const std::vector<vm_record> older = {Vm("z")};
  rig.table.MergePlatformList(rig.clock.Now(), newer, 9);
  rig.table.MergePlatformList(rig.clock.Now(), older, 8);
  BOOST_TEST(rig.table.Find("z") == nullptr);
  BOOST_TEST(rig.table.Counters().outdated_lists == 1U);
}

BOOST_AUTO_TEST_CASE(VmsThatOnlyTheListNamesAreNotSpreadAndUsedLast) {
  membership_rig rig;
  rig.table.TakeDelta(10);
  const auto hash = rig.table.Hash();
  rig.List({Vm("a"), Vm("self")});
  BOOST_TEST(rig.table.DeltaSize() == 0U);
  BOOST_TEST(rig.table.Hash() == hash);
  BOOST_TEST(rig.IsSuspect("a"));
  rig.List({Vm("a", "fsd-hall", 0, vm_state::kLeaving), Vm("self")});
  BOOST_TEST(rig.UpstreamAt("a")->is_leaving);
  BOOST_TEST(rig.table.DeltaSize() == 0U);
  rig.List({Vm("self")});
  BOOST_TEST(rig.table.Find("a") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
