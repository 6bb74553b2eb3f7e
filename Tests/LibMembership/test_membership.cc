#include <boost/test/unit_test.hpp>

#include "LibMembership/pause_detector.h"
#include "Tests/LibMembership/membership_rig.h"

// One case for each way in which a lost link, late gossip, a pause or an
// earlier process could mislead a node about the state of a VM.

namespace wagtailmount {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(membership_suite)

struct merge_case {
  const char* name;
  vm_record held;
  vm_record announced;
  bool replaces;
};

BOOST_AUTO_TEST_CASE(TheHigherIncarnationWinsAndStatesOnlyAdvance) {
  const auto at = [](std::uint64_t incarnation, vm_state state) {
    return Vm("a", "fsd-hall", incarnation, state);
  };
  const merge_case cases[] = {
      {"state advances", at(5, vm_state::kServing), at(5, vm_state::kLeaving),
       true},
      {"state would go back", at(5, vm_state::kLeaving),
       at(5, vm_state::kServing), false},
      {"gone would become serving", at(5, vm_state::kGone),
       at(5, vm_state::kServing), false},
      {"a new process", at(5, vm_state::kGone), at(6, vm_state::kStarting),
       true},
      {"late record of an earlier process", at(6, vm_state::kStarting),
       at(5, vm_state::kGone), false},
      {"the same record again", at(5, vm_state::kServing),
       at(5, vm_state::kServing), false},
  };
  for (const auto& one : cases) {
    BOOST_TEST_CONTEXT(one.name) {
      membership_rig rig;
      vm_record first = one.held;
      first.state = vm_state::kStarting;
      rig.Announce(first);
      rig.Announce(one.held);
      const auto effects = rig.Announce(one.announced);
      const vm_record& expected = one.replaces ? one.announced : one.held;
      BOOST_TEST((*rig.table.Find("a") == expected));
      const bool is_outdated = !one.replaces && !(one.held == one.announced);
      BOOST_TEST(effects.correction.has_value() == is_outdated);
    }
  }
}

BOOST_AUTO_TEST_CASE(MalformedRecordsAreRefused) {
  membership_rig rig;
  vm_record unnamed = Vm("");
  vm_record unannounced = Vm("a");
  unannounced.incarnation = 0;
  vm_record too_high = Vm("a");
  too_high.incarnation = ~std::uint64_t{0};
  vm_record false_self = Vm("self");
  false_self.incarnation = ~std::uint64_t{0};
  vm_record unknown_state = Vm("a");
  unknown_state.state = static_cast<vm_state>(9);
  for (const auto& record :
       {unnamed, unannounced, too_high, false_self, unknown_state}) {
    rig.Announce(record);
  }
  BOOST_TEST(rig.table.Counters().refused == 5U);
  BOOST_TEST(rig.table.Size() == 1U);
  BOOST_TEST(rig.table.Self().incarnation == 500U);
}

BOOST_AUTO_TEST_CASE(ForgedVmsCannotExhaustTheMemory) {
  manual_clock clock;
  membership_settings chosen;
  chosen.maximum_vms = 10;
  membership table(chosen, Vm("self"), clock.Now());
  for (int i = 0; i < 100; ++i) {
    table.MergeAnnouncement(clock.Now(), Vm("vm-" + std::to_string(i)));
  }
  BOOST_TEST(table.Size() == 10U);
  BOOST_TEST(table.Counters().refused == 91U);
}

struct self_case {
  const char* name;
  vm_state own;
  vm_record heard;
  std::uint64_t incarnation;  ///< Expected of this VM afterwards.
};

BOOST_AUTO_TEST_CASE(AVmRefutesWhatIsFalselyDeclaredOfIt) {
  const auto of_self = [](std::uint64_t incarnation, vm_state state) {
    return Vm("self", "fsd-hall", incarnation, state);
  };
  const self_case cases[] = {
      {"declared gone", vm_state::kServing, of_self(500, vm_state::kGone), 501},
      {"declared leaving", vm_state::kServing, of_self(500, vm_state::kLeaving),
       501},
      {"an earlier process whose clock was ahead", vm_state::kStarting,
       of_self(900, vm_state::kServing), 901},
      {"an earlier process that is gone", vm_state::kServing,
       of_self(900, vm_state::kGone), 901},
      {"an outdated declaration", vm_state::kServing,
       of_self(400, vm_state::kGone), 500},
      {"its own record", vm_state::kServing, of_self(500, vm_state::kServing),
       500},
      {"declared gone while it is leaving", vm_state::kLeaving,
       of_self(500, vm_state::kGone), 500},
      {"replaced while it is leaving", vm_state::kLeaving,
       of_self(900, vm_state::kServing), 500},
  };
  for (const auto& one : cases) {
    BOOST_TEST_CONTEXT(one.name) {
      membership_rig rig;
      rig.table.AnnounceSelf(rig.clock.Now(), one.own);
      rig.table.TakeDelta(10);
      vm_record heard = one.heard;
      const vm_record& own = rig.table.Self();
      heard.peer = own.peer;
      const auto effects = rig.Announce(heard);
      BOOST_TEST(rig.table.Self().incarnation == one.incarnation);
      BOOST_TEST((rig.table.Self().state == one.own));
      BOOST_TEST(effects.self_incarnation_raised == (one.incarnation != 500));
      BOOST_TEST(rig.table.DeltaSize() == (one.incarnation != 500 ? 1U : 0U));
    }
  }
}

BOOST_AUTO_TEST_CASE(APausedProcessGivesWayToItsReplacement) {
  membership_rig rig;
  rig.table.AnnounceSelf(rig.clock.Now(), vm_state::kServing);
  rig.clock.Advance(minutes{10});
  rig.table.AfterPause(rig.clock.Now());
  const auto effects = rig.Announce(Vm("self", "fsd-hall", 900));
  BOOST_TEST(effects.self_superseded);
  BOOST_TEST(rig.table.Self().incarnation == 500U);
}

BOOST_AUTO_TEST_CASE(APeerOfTheOwnDomainThatStaysLostIsDeclaredGone) {
  membership_rig rig;
  for (const char* vm : {"a", "b", "c"}) {
    rig.Announce(Vm(vm));
    rig.Heard(vm);
  }
  rig.Announce(Vm("far", "lhr-hall"));
  rig.Heard("far");
  rig.Lost("a");
  rig.Lost("far");
  BOOST_TEST(rig.IsSuspect("a"));
  BOOST_TEST(rig.IsSuspect("far"));
  BOOST_TEST(!rig.IsSuspect("b"));
  rig.Run(seconds{9});
  BOOST_TEST((rig.StateOf("a") == vm_state::kServing));
  rig.Run(seconds{2});
  BOOST_TEST((rig.StateOf("a") == vm_state::kGone));
  // A VM in another failure domain is never declared gone by its lost link: a
  // partition between domains is likelier.
  rig.Run(minutes{10});
  BOOST_TEST((rig.StateOf("far") == vm_state::kServing));
  rig.Heard("far");
  BOOST_TEST(!rig.IsSuspect("far"));
}

BOOST_AUTO_TEST_CASE(ALostPeerThatLeavesIsGoneAtOnce) {
  membership_rig rig;
  rig.Announce(Vm("far", "lhr-hall"));
  rig.Heard("far");
  rig.Announce(Vm("far", "lhr-hall", 1'000, vm_state::kLeaving));
  rig.Lost("far");
  BOOST_TEST((rig.StateOf("far") == vm_state::kGone));
}

BOOST_AUTO_TEST_CASE(SilenceOfMostOfADomainIsACut) {
  for (const char* domain : {"fsd-hall", "lhr-hall"}) {
    BOOST_TEST_CONTEXT(domain) {
      membership_rig rig;
      for (const char* vm : {"a", "b", "c", "d", "unwatched"}) {
        rig.Announce(Vm(vm, domain));
      }
      for (const char* vm : {"a", "b", "c", "d"}) {
        rig.Heard(vm);
      }
      for (const char* vm : {"a", "b", "c"}) {
        rig.Lost(vm);
      }
      BOOST_TEST(rig.table.IsPartitioned(domain));
      rig.Run(minutes{5});
      for (const char* vm : {"a", "b", "c", "unwatched"}) {
        BOOST_TEST((rig.StateOf(vm) == vm_state::kServing));
        BOOST_TEST(rig.IsSuspect(vm), vm);
      }
      BOOST_TEST(!rig.IsSuspect("d"));
      BOOST_TEST(rig.table.Counters().declared_gone == 0U);
      for (const char* vm : {"a", "b", "c"}) {
        rig.Heard(vm);
      }
      BOOST_TEST(!rig.table.IsPartitioned(domain));
      BOOST_TEST(!rig.IsSuspect("unwatched"));
    }
  }
}

BOOST_AUTO_TEST_CASE(DeathsOneByOneAreNoCut) {
  membership_rig rig;
  for (const char* vm : {"a", "b", "c", "d", "e"}) {
    rig.Announce(Vm(vm));
    rig.Heard(vm);
  }
  for (const char* vm : {"a", "b", "c"}) {
    rig.Lost(vm);
    rig.Run(minutes{1});
    BOOST_TEST((rig.StateOf(vm) == vm_state::kGone));
  }
}

BOOST_AUTO_TEST_CASE(ADomainThatPeersDeclareGoneStaysALastResort) {
  membership_rig rig;
  for (int i = 0; i < 10; ++i) {
    rig.Announce(Vm("vm-" + std::to_string(i), "lhr-hall"));
  }
  for (int i = 0; i < 8; ++i) {
    rig.Announce(
        Vm("vm-" + std::to_string(i), "lhr-hall", 1'000, vm_state::kGone));
  }
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST(rig.IsSuspect("vm-" + std::to_string(i)));
  }
  BOOST_TEST(!rig.IsSuspect("vm-9"));
  // A VM that announced that it leaves is not kept as a last resort.
  rig.Announce(Vm("vm-9", "lhr-hall", 1'000, vm_state::kLeaving));
  rig.Announce(Vm("vm-9", "lhr-hall", 1'000, vm_state::kGone));
  BOOST_TEST(rig.UpstreamAt("vm-9") == nullptr);
  rig.Announce(Vm("vm-0", "lhr-hall", 1'001));
  BOOST_TEST(!rig.IsSuspect("vm-0"));
}

BOOST_AUTO_TEST_CASE(ARefutedDeclarationNeedsLongerSilence) {
  membership_rig rig;
  for (const char* vm : {"a", "b", "c"}) {
    rig.Announce(Vm(vm));
    rig.Heard(vm);
  }
  rig.Lost("a");
  rig.Run(seconds{11});
  BOOST_TEST((rig.StateOf("a") == vm_state::kGone));
  rig.Announce(Vm("a", "fsd-hall", 1'001));
  rig.Lost("a");
  rig.Run(seconds{15});
  BOOST_TEST((rig.StateOf("a") == vm_state::kServing));
  rig.Run(seconds{10});
  BOOST_TEST((rig.StateOf("a") == vm_state::kGone));
}

BOOST_AUTO_TEST_CASE(SilenceDuringAPauseProvesNothing) {
  membership_rig rig;
  for (const char* vm : {"a", "b", "c"}) {
    rig.Announce(Vm(vm));
    rig.Heard(vm);
  }
  rig.Lost("a");
  rig.clock.Advance(minutes{2});
  rig.table.AfterPause(rig.clock.Now());
  rig.table.Tick(rig.clock.Now());
  BOOST_TEST((rig.StateOf("a") == vm_state::kServing));
  rig.Run(seconds{11});
  BOOST_TEST((rig.StateOf("a") == vm_state::kGone));
}

BOOST_AUTO_TEST_CASE(GoneRecordsAreForgottenAfterLateGossip) {
  membership_rig rig;
  rig.Announce(Vm("a"));
  rig.Announce(Vm("a", "fsd-hall", 1'000, vm_state::kGone));
  rig.Run(minutes{14});
  rig.Announce(Vm("a"));
  BOOST_TEST((rig.StateOf("a") == vm_state::kGone));
  BOOST_TEST(rig.table.Find("a") != nullptr);
  rig.Run(minutes{2});
  BOOST_TEST(rig.table.Find("a") == nullptr);
  BOOST_TEST(rig.table.UpstreamsOf("ledger") != nullptr);
}

BOOST_AUTO_TEST_CASE(TheDeathOfAnUnknownVmIsNotPassedOn) {
  membership_rig rig;
  rig.table.TakeDelta(10);
  rig.Announce(Vm("a", "fsd-hall", 1'000, vm_state::kGone));
  BOOST_TEST(rig.table.Find("a") == nullptr);
  BOOST_TEST(rig.table.DeltaSize() == 0U);
}

BOOST_AUTO_TEST_CASE(AJoinerDoesNotPassOnAllThatItLearns) {
  membership_rig rig;
  rig.table.TakeDelta(10);
  for (int i = 0; i < 10; ++i) {
    rig.table.MergeAnnouncement(rig.clock.Now(), Vm("vm-" + std::to_string(i)),
                                record_origin::kRepair);
  }
  BOOST_TEST(rig.table.DeltaSize() == 0U);
  BOOST_TEST(rig.table.Size() == 11U);
  // A repair that changes a known record is passed on like gossip.
  rig.table.MergeAnnouncement(rig.clock.Now(), Vm("vm-3", "fsd-hall", 2'000),
                              record_origin::kRepair);
  BOOST_TEST(rig.table.DeltaSize() == 1U);
}

BOOST_AUTO_TEST_CASE(OnlyChangedServicesAreRebuilt) {
  membership_rig rig;
  vm_record other = Vm("z");
  other.service = "casefile";
  rig.Announce(Vm("a"));
  rig.Announce(other);
  const auto ledger = rig.table.UpstreamsOf("ledger");
  const auto casefile = rig.table.UpstreamsOf("casefile");
  const auto known = rig.Announce(Vm("a"));
  BOOST_TEST(!known.upstreams_changed);
  const auto effects =
      rig.Announce(Vm("a", "fsd-hall", 1'000, vm_state::kLeaving));
  BOOST_TEST(effects.upstreams_changed);
  BOOST_TEST(rig.table.UpstreamsOf("ledger") != ledger);
  BOOST_TEST(rig.table.UpstreamsOf("casefile") == casefile);
  BOOST_TEST(!ledger->upstreams.front().is_leaving);
  BOOST_TEST(rig.table.AllUpstreams().size() == 2U);
}

BOOST_AUTO_TEST_CASE(DeltasAreBoundedAndCarryTheLatestState) {
  membership_rig rig;
  for (int i = 0; i < 10; ++i) {
    rig.Announce(Vm("vm-" + std::to_string(i)));
  }
  rig.Announce(Vm("vm-5", "fsd-hall", 1'000, vm_state::kLeaving));
  std::size_t taken = 0;
  for (int i = 0; i < 3; ++i) {
    const auto delta = rig.table.TakeDelta(4);
    BOOST_TEST(delta.size() <= 4U);
    taken += delta.size();
    for (const auto& record : delta) {
      BOOST_TEST((record == *rig.table.Find(record.vm)));
    }
  }
  BOOST_TEST(taken == 11U);
  BOOST_TEST(rig.table.DeltaSize() == 0U);
}

BOOST_AUTO_TEST_CASE(AJumpOfTheClockIsAPause) {
  manual_clock clock;
  pause_detector detector(seconds{2});
  BOOST_TEST(!detector.Step(clock.Now()));
  clock.Advance(seconds{1});
  BOOST_TEST(!detector.Step(clock.Now()));
  clock.Advance(seconds{5});
  BOOST_TEST(detector.Step(clock.Now()));
  BOOST_TEST((detector.LastPause() == seconds{5}));
  BOOST_TEST(!detector.Step(clock.Now()));
  BOOST_TEST(detector.Pauses() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
