#include <boost/test/unit_test.hpp>

#include "LibMembership/pause_detector.h"
#include "Tests/LibMembership/membership_fixture.h"

// One case for each way in which a lost link, late gossip, a pause or an
// earlier process could mislead a node about the state of a VM.

namespace wagtailmount {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(membership_suite)

struct merge_case {
  const char* name;
  vm_record stored;
  vm_record announced;
  bool replaces;
};

BOOST_AUTO_TEST_CASE(TheHigherIncarnationWinsAndStatesOnlyAdvanceWithinIt) {
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
      membership_fixture fixture;
      vm_record first = one.stored;
      first.state = vm_state::kStarting;
      fixture.Announce(first);
      fixture.Announce(one.stored);
      const auto effects = fixture.Announce(one.announced);
      const vm_record& expected = one.replaces ? one.announced : one.stored;
      BOOST_TEST((*fixture.table.Find("a") == expected));
      const bool is_outdated = !one.replaces && !(one.stored == one.announced);
      BOOST_TEST(effects.correction.has_value() == is_outdated);
    }
  }
}

BOOST_AUTO_TEST_CASE(MalformedRecordsAreRefused) {
  membership_fixture fixture;
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
    fixture.Announce(record);
  }
  BOOST_TEST(fixture.table.Counters().refused == 5U);
  BOOST_TEST(fixture.table.Size() == 1U);
  BOOST_TEST(fixture.table.Self().incarnation == 500U);
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
  vm_record received;
  std::uint64_t incarnation;  ///< Expected of this VM afterwards.
};

BOOST_AUTO_TEST_CASE(AVmRefutesFalseDeclarationsAboutItself) {
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
      membership_fixture fixture;
      fixture.table.AnnounceSelf(fixture.clock.Now(), one.own);
      fixture.table.TakeDelta(10);
      vm_record received = one.received;
      const vm_record& own = fixture.table.Self();
      received.peer = own.peer;
      const auto effects = fixture.Announce(received);
      BOOST_TEST(fixture.table.Self().incarnation == one.incarnation);
      BOOST_TEST((fixture.table.Self().state == one.own));
      BOOST_TEST(effects.self_incarnation_raised == (one.incarnation != 500));
      BOOST_TEST(fixture.table.DeltaSize() ==
                 (one.incarnation != 500 ? 1U : 0U));
    }
  }
}

BOOST_AUTO_TEST_CASE(APausedProcessGivesWayToItsReplacement) {
  membership_fixture fixture;
  fixture.table.AnnounceSelf(fixture.clock.Now(), vm_state::kServing);
  fixture.clock.Advance(minutes{10});
  fixture.table.AfterPause(fixture.clock.Now());
  const auto effects = fixture.Announce(Vm("self", "fsd-hall", 900));
  BOOST_TEST(effects.self_superseded);
  BOOST_TEST(fixture.table.Self().incarnation == 500U);
}

BOOST_AUTO_TEST_CASE(AnUnreachablePeerOfTheOwnDomainIsDeclaredGone) {
  membership_fixture fixture;
  for (const char* vm : {"a", "b", "c"}) {
    fixture.Announce(Vm(vm));
    fixture.MarkReachable(vm);
  }
  fixture.Announce(Vm("far", "lhr-hall"));
  fixture.MarkReachable("far");
  fixture.MarkUnreachable("a");
  fixture.MarkUnreachable("far");
  BOOST_TEST(fixture.IsSuspect("a"));
  BOOST_TEST(fixture.IsSuspect("far"));
  BOOST_TEST(!fixture.IsSuspect("b"));
  fixture.Run(seconds{9});
  BOOST_TEST((fixture.StateOf("a") == vm_state::kServing));
  fixture.Run(seconds{2});
  BOOST_TEST((fixture.StateOf("a") == vm_state::kGone));
  // A VM in another failure domain is never declared gone by its lost link: a
  // partition between domains is likelier.
  fixture.Run(minutes{10});
  BOOST_TEST((fixture.StateOf("far") == vm_state::kServing));
  fixture.MarkReachable("far");
  BOOST_TEST(!fixture.IsSuspect("far"));
}

BOOST_AUTO_TEST_CASE(AnUnreachableLeavingPeerIsDeclaredGoneAtOnce) {
  membership_fixture fixture;
  fixture.Announce(Vm("far", "lhr-hall"));
  fixture.MarkReachable("far");
  fixture.Announce(Vm("far", "lhr-hall", 1'000, vm_state::kLeaving));
  fixture.MarkUnreachable("far");
  BOOST_TEST((fixture.StateOf("far") == vm_state::kGone));
}

BOOST_AUTO_TEST_CASE(LosingMostOfADomainIsAPartition) {
  for (const char* domain : {"fsd-hall", "lhr-hall"}) {
    BOOST_TEST_CONTEXT(domain) {
      membership_fixture fixture;
      for (const char* vm : {"a", "b", "c", "d", "unwatched"}) {
        fixture.Announce(Vm(vm, domain));
      }
      for (const char* vm : {"a", "b", "c", "d"}) {
        fixture.MarkReachable(vm);
      }
      for (const char* vm : {"a", "b", "c"}) {
        fixture.MarkUnreachable(vm);
      }
      BOOST_TEST(fixture.table.IsPartitioned(domain));
      fixture.Run(minutes{5});
      for (const char* vm : {"a", "b", "c", "unwatched"}) {
        BOOST_TEST((fixture.StateOf(vm) == vm_state::kServing));
        BOOST_TEST(fixture.IsSuspect(vm), vm);
      }
      BOOST_TEST(!fixture.IsSuspect("d"));
      BOOST_TEST(fixture.table.Counters().declared_gone == 0U);
      for (const char* vm : {"a", "b", "c"}) {
        fixture.MarkReachable(vm);
      }
      BOOST_TEST(!fixture.table.IsPartitioned(domain));
      BOOST_TEST(!fixture.IsSuspect("unwatched"));
    }
  }
}

BOOST_AUTO_TEST_CASE(SuccessiveFailuresAreNoPartition) {
  membership_fixture fixture;
  for (const char* vm : {"a", "b", "c", "d", "e"}) {
    fixture.Announce(Vm(vm));
    fixture.MarkReachable(vm);
  }
  for (const char* vm : {"a", "b", "c"}) {
    fixture.MarkUnreachable(vm);
    fixture.Run(minutes{1});
    BOOST_TEST((fixture.StateOf(vm) == vm_state::kGone));
  }
}

BOOST_AUTO_TEST_CASE(ADomainThatPeersDeclareGoneStaysAsLastResort) {
  membership_fixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.Announce(Vm("vm-" + std::to_string(i), "lhr-hall"));
  }
  for (int i = 0; i < 8; ++i) {
    fixture.Announce(
        Vm("vm-" + std::to_string(i), "lhr-hall", 1'000, vm_state::kGone));
  }
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST(fixture.IsSuspect("vm-" + std::to_string(i)));
  }
  BOOST_TEST(!fixture.IsSuspect("vm-9"));
  // A VM that announced that it leaves is not kept as a last resort.
  fixture.Announce(Vm("vm-9", "lhr-hall", 1'000, vm_state::kLeaving));
  fixture.Announce(Vm("vm-9", "lhr-hall", 1'000, vm_state::kGone));
  BOOST_TEST(fixture.UpstreamAt("vm-9") == nullptr);
  fixture.Announce(Vm("vm-0", "lhr-hall", 1'001));
  BOOST_TEST(!fixture.IsSuspect("vm-0"));
}

BOOST_AUTO_TEST_CASE(ARefutationDoublesTheTimeoutOfUnreachablePeers) {
  membership_fixture fixture;
  for (const char* vm : {"a", "b", "c"}) {
    fixture.Announce(Vm(vm));
    fixture.MarkReachable(vm);
  }
  fixture.MarkUnreachable("a");
  fixture.Run(seconds{11});
  BOOST_TEST((fixture.StateOf("a") == vm_state::kGone));
  fixture.Announce(Vm("a", "fsd-hall", 1'001));
  fixture.MarkUnreachable("a");
  fixture.Run(seconds{15});
  BOOST_TEST((fixture.StateOf("a") == vm_state::kServing));
  fixture.Run(seconds{10});
  BOOST_TEST((fixture.StateOf("a") == vm_state::kGone));
}

BOOST_AUTO_TEST_CASE(APauseRestartsTheTimeoutOfUnreachablePeers) {
  membership_fixture fixture;
  for (const char* vm : {"a", "b", "c"}) {
    fixture.Announce(Vm(vm));
    fixture.MarkReachable(vm);
  }
  fixture.MarkUnreachable("a");
  fixture.clock.Advance(minutes{2});
  fixture.table.AfterPause(fixture.clock.Now());
  fixture.table.Tick(fixture.clock.Now());
  BOOST_TEST((fixture.StateOf("a") == vm_state::kServing));
  fixture.Run(seconds{11});
  BOOST_TEST((fixture.StateOf("a") == vm_state::kGone));
}

BOOST_AUTO_TEST_CASE(GoneRecordsResistLateGossipAndAreErased) {
  membership_fixture fixture;
  fixture.Announce(Vm("a"));
  fixture.Announce(Vm("a", "fsd-hall", 1'000, vm_state::kGone));
  fixture.Run(minutes{14});
  fixture.Announce(Vm("a"));
  BOOST_TEST((fixture.StateOf("a") == vm_state::kGone));
  BOOST_TEST(fixture.table.Find("a") != nullptr);
  fixture.Run(minutes{2});
  BOOST_TEST(fixture.table.Find("a") == nullptr);
  BOOST_TEST(fixture.table.UpstreamsOf("ledger") != nullptr);
}

BOOST_AUTO_TEST_CASE(ATombstoneOfAnUnknownVmIsNotPassedOn) {
  membership_fixture fixture;
  fixture.table.TakeDelta(10);
  fixture.Announce(Vm("a", "fsd-hall", 1'000, vm_state::kGone));
  BOOST_TEST(fixture.table.Find("a") == nullptr);
  BOOST_TEST(fixture.table.DeltaSize() == 0U);
}

BOOST_AUTO_TEST_CASE(VmsLearnedByRepairAreNotPassedOn) {
  membership_fixture fixture;
  fixture.table.TakeDelta(10);
  for (int i = 0; i < 10; ++i) {
    fixture.table.MergeAnnouncement(fixture.clock.Now(),
                                    Vm("vm-" + std::to_string(i)),
                                    record_origin::kRepair);
  }
  BOOST_TEST(fixture.table.DeltaSize() == 0U);
  BOOST_TEST(fixture.table.Size() == 11U);
  // A repair that changes a known record is passed on like gossip.
  fixture.table.MergeAnnouncement(fixture.clock.Now(),
                                  Vm("vm-3", "fsd-hall", 2'000),
                                  record_origin::kRepair);
  BOOST_TEST(fixture.table.DeltaSize() == 1U);
}

BOOST_AUTO_TEST_CASE(OnlyChangedServicesAreRebuilt) {
  membership_fixture fixture;
  vm_record other = Vm("z");
  other.service = "casefile";
  fixture.Announce(Vm("a"));
  fixture.Announce(other);
  const auto ledger = fixture.table.UpstreamsOf("ledger");
  const auto casefile = fixture.table.UpstreamsOf("casefile");
  const auto known = fixture.Announce(Vm("a"));
  BOOST_TEST(!known.upstreams_changed);
  const auto effects =
      fixture.Announce(Vm("a", "fsd-hall", 1'000, vm_state::kLeaving));
  BOOST_TEST(effects.upstreams_changed);
  BOOST_TEST(fixture.table.UpstreamsOf("ledger") != ledger);
  BOOST_TEST(fixture.table.UpstreamsOf("casefile") == casefile);
  BOOST_TEST(!ledger->upstreams.front().is_leaving);
  BOOST_TEST(fixture.table.AllUpstreams().size() == 2U);
}

BOOST_AUTO_TEST_CASE(DeltasAreBoundedAndCarryTheLatestState) {
  membership_fixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.Announce(Vm("vm-" + std::to_string(i)));
  }
  fixture.Announce(Vm("vm-5", "fsd-hall", 1'000, vm_state::kLeaving));
  std::size_t taken = 0;
  for (int i = 0; i < 3; ++i) {
    const auto delta = fixture.table.TakeDelta(4);
    BOOST_TEST(delta.size() <= 4U);
    taken += delta.size();
    for (const auto& record : delta) {
      BOOST_TEST((record == *fixture.table.Find(record.vm)));
    }
  }
  BOOST_TEST(taken == 11U);
  BOOST_TEST(fixture.table.DeltaSize() == 0U);
}

BOOST_AUTO_TEST_CASE(AClockJumpIsDetectedAsAPause) {
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

BOOST_AUTO_TEST_CASE(AnEvacuationMarksTheUpstreamsOfItsFailureDomainOnly) {
  membership_fixture fixture;
  fixture.Announce(Vm("a"));
  fixture.Announce(Vm("b", "lhr-hall"));
  BOOST_TEST(fixture.table.SetEvacuated({"lhr-hall"}).upstreams_changed);
  BOOST_TEST(!fixture.UpstreamAt("a")->is_evacuated);
  BOOST_TEST(fixture.UpstreamAt("b")->is_evacuated);
  fixture.Announce(Vm("c", "lhr-hall"));
  BOOST_TEST(fixture.UpstreamAt("c")->is_evacuated);
  BOOST_TEST(!fixture.table.SetEvacuated({"lhr-hall"}).upstreams_changed);
  fixture.table.SetEvacuated({});
  BOOST_TEST(!fixture.UpstreamAt("b")->is_evacuated);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
