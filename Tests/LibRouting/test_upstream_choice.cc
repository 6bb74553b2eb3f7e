#include <boost/test/unit_test.hpp>
#include <map>

#include "LibRouting/upstream_choice.h"

using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

// Seven upstreams in two failure domains of one region; the node that chooses
// is in fsd-hall.
struct choice_fixture {
  choice_fixture() {
    for (int number = 0; number < 7; ++number) {
      upstream made;
      made.vm = "vm-" + std::to_string(number);
      made.failure_domain = number < 4 ? "fsd-hall" : "lhr-hall";
      made.region = "pk-central";
      made.incarnation = 1;
      upstreams.push_back(made);
    }
  }

  const upstream* Choose() {
    const auto choice =
        chooser.Choose(clock.Now(), upstreams, tried, seconds{10}, random);
    why = choice ? choice->why : choice_reason::kNear;
    return choice ? choice->chosen : nullptr;
  }

  void Call(std::string_view vm, attempt_signal signal, milliseconds taken) {
    chooser.Begin(vm);
    chooser.End(clock.Now(), vm, signal, taken);
  }

  // Returns how often each VM is chosen in `count` successive calls, each of
  // which takes `taken(vm)`.
  template <typename latency>
  std::map<std::string, int> Run(int count, latency taken) {
    std::map<std::string, int> chosen;
    for (int call = 0; call < count; ++call) {
      const upstream* const one = Choose();
      ++chosen[one->vm];
      Call(one->vm, attempt_signal::kGood, taken(one->vm));
      clock.Advance(milliseconds{7});
    }
    return chosen;
  }

  manual_clock clock;
  random_source random{7};
  std::vector<upstream> upstreams;
  std::vector<const upstream*> tried;
  upstream_chooser chooser{{"fsd-hall", "pk-central"}};
  choice_reason why = choice_reason::kNear;
};

milliseconds UniformLatency(const std::string&) { return milliseconds{10}; }

}  // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_choice_suite, choice_fixture)

BOOST_AUTO_TEST_CASE(OwnFailureDomainIsPreferred) {
  const auto chosen = Run(1'000, UniformLatency);
  BOOST_TEST(chosen.size() == 4U);
  for (const auto& [vm, count] : chosen) {
    BOOST_TEST(count > 150);
  }
}

BOOST_AUTO_TEST_CASE(WorkSpillsOverWhenTheOwnDomainIsLoaded) {
  Run(100, UniformLatency);
  for (int number = 0; number < 4; ++number) {
    for (int held = 0; held < 12; ++held) {
      chooser.Begin("vm-" + std::to_string(number));
    }
  }
  BOOST_TEST(Choose()->failure_domain == "lhr-hall");
  BOOST_TEST((why == choice_reason::kSpillOver));
}

BOOST_AUTO_TEST_CASE(SlowUpstreamGetsFewRequestsAndIsTriedAgain) {
  const auto taken = [](const std::string& vm) {
    return vm == "vm-1" ? milliseconds{200} : milliseconds{10};
  };
  const auto chosen = Run(3'000, taken);
  const int slow = chosen.count("vm-1") ? chosen.at("vm-1") : 0;
  BOOST_TEST(slow < 60);
  clock.Advance(seconds{60});
  BOOST_TEST(Run(400, UniformLatency).at("vm-1") > 50);
}

BOOST_AUTO_TEST_CASE(LeavingUpstreamIsNeverChosenAndSuspectOnlyLast) {
  upstreams.resize(3);
  upstreams[0].is_leaving = true;
  upstreams[1].is_suspect = true;
  for (int call = 0; call < 50; ++call) {
    BOOST_TEST(Choose()->vm == "vm-2");
  }
  tried = {&upstreams[2]};
  BOOST_TEST(Choose()->vm == "vm-1");
  BOOST_TEST((why == choice_reason::kSuspect));
  tried = {&upstreams[2], &upstreams[1]};
  BOOST_TEST(Choose() == nullptr);
}

BOOST_AUTO_TEST_CASE(ConsecutiveFailuresEjectTemporarily) {
  Choose();
  for (int call = 0; call < 4; ++call) {
    Call("vm-1", attempt_signal::kBad, milliseconds{1});
  }
  BOOST_TEST(!chooser.IsEjected(clock.Now(), "vm-1"));
  Call("vm-1", attempt_signal::kBad, milliseconds{1});
  BOOST_TEST(chooser.IsEjected(clock.Now(), "vm-1"));
  BOOST_TEST(Run(100, UniformLatency).count("vm-1") == 0U);
  clock.Advance(seconds{2});
  BOOST_TEST(!chooser.IsEjected(clock.Now(), "vm-1"));
  // A single failure now ejects it again, for twice the time.
  Call("vm-1", attempt_signal::kBad, milliseconds{1});
  clock.Advance(milliseconds{1'500});
  BOOST_TEST(chooser.IsEjected(clock.Now(), "vm-1"));
}

// Guards against repeated attempts at upstreams that can't be reached, as when
// many VMs of a failure domain lose power at once: each failed connection costs
// a quarter of a second.
BOOST_AUTO_TEST_CASE(UnreachableUpstreamIsEjectedAtOnce) {
  Choose();
  for (const char* const vm : {"vm-0", "vm-1", "vm-2"}) {
    Call(vm, attempt_signal::kUnreachable, milliseconds{250});
    BOOST_TEST(chooser.IsEjected(clock.Now(), vm));
  }
  for (int call = 0; call < 20; ++call) {
    BOOST_TEST(Choose()->vm == "vm-3");
  }
  // The first ejection is short.
  clock.Advance(milliseconds{1'100});
  BOOST_TEST(!chooser.IsEjected(clock.Now(), "vm-1"));
}

// The load of a day on which a third of the VMs was cut off while a burst
// filled the others: unreachable upstreams report no wait, and requests that
// found all others full went there, four connection timeouts each.
BOOST_AUTO_TEST_CASE(
    NoRequestWaitsAtAnUnreachableUpstreamBecauseOthersAreFull) {
  const placement_criteria criteria{.rank = request_priority::kInteractive,
                                    .longest_wait = milliseconds{200},
                                    .objective_left = milliseconds{500},
                                    .bytes = 0};
  const auto choose = [&] {
    return chooser.Choose(clock.Now(), upstreams, tried, seconds{10}, random,
                          criteria);
  };
  choose();
  int wasted = 0;
  for (int step = 0; step < 400; ++step) {
    for (const upstream& each : upstreams) {
      if (each.vm >= "vm-4") {
        chooser.RecordReportedLoad(
            clock.Now(), each.vm,
            {request_priority::kInteractive, milliseconds{900},
             milliseconds{100}, 12, milliseconds{1}});
      }
    }
    if (const auto choice = choose()) {
      BOOST_REQUIRE(choice->chosen->vm < "vm-4");
      ++wasted;
      Call(choice->chosen->vm, attempt_signal::kUnreachable, milliseconds{250});
    } else {
      BOOST_TEST(chooser.AreAllFull());
    }
    clock.Advance(milliseconds{10});
  }
  // In 4 s each of the four is tried after 0, 0.5, 1.5 and 3.5 s.
  BOOST_TEST(wasted <= 16);
}

BOOST_AUTO_TEST_CASE(AnUnreachableUpstreamGetsOneAttemptAtATime) {
  Choose();
  Call("vm-1", attempt_signal::kUnreachable, milliseconds{250});
  clock.Advance(milliseconds{600});
  chooser.Begin("vm-1");
  BOOST_TEST(Run(100, UniformLatency).count("vm-1") == 0U);
  chooser.End(clock.Now(), "vm-1", attempt_signal::kGood, milliseconds{5});
  clock.Advance(seconds{10});
  BOOST_TEST(Run(1'000, UniformLatency)["vm-1"] > 150);
}

// A node that is cut off refuses at once what its own upstream can't take.
BOOST_AUTO_TEST_CASE(WhereNothingCanBeReachedNothingIsChosen) {
  Choose();
  for (const upstream& each : upstreams) {
    if (each.vm != "vm-2") {
      Call(each.vm, attempt_signal::kUnreachable, milliseconds{250});
    }
  }
  BOOST_TEST(Choose()->vm == "vm-2");
  tried = {&upstreams[2]};
  BOOST_TEST(Choose() == nullptr);
  clock.Advance(milliseconds{600});
  BOOST_TEST(Choose() != nullptr);
}

BOOST_AUTO_TEST_CASE(AtMostHalfOfTheUpstreamsAreEjected) {
  Choose();
  int ejected = 0;
  for (const upstream& each : upstreams) {
    for (int call = 0; call < 10; ++call) {
      Call(each.vm, attempt_signal::kBad, milliseconds{1});
    }
    ejected += chooser.IsEjected(clock.Now(), each.vm) ? 1 : 0;
  }
  BOOST_TEST(ejected == 3);
}

BOOST_AUTO_TEST_CASE(RefusalsByOwnersDoNotEject) {
  Choose();
  for (int call = 0; call < 20; ++call) {
    Call("vm-1", attempt_signal::kOwnerRefused, milliseconds{1});
  }
  BOOST_TEST(!chooser.IsEjected(clock.Now(), "vm-1"));
  BOOST_TEST(Run(20, UniformLatency)["vm-1"] <= 1);
}

BOOST_AUTO_TEST_CASE(NewUpstreamGoesThroughSlowStart) {
  upstreams.resize(4);
  Run(200, UniformLatency);
  upstreams[3].incarnation = 2;
  const int at_first = Run(140, UniformLatency)["vm-3"];
  clock.Advance(seconds{10});
  const int later = Run(140, UniformLatency)["vm-3"];
  BOOST_TEST(at_first <= 15);
  BOOST_TEST(later >= 20);
}

BOOST_AUTO_TEST_CASE(OutstandingRequestsSurviveANewSnapshot) {
  Choose();
  chooser.Begin("vm-5");
  upstreams.erase(upstreams.begin());
  Choose();
  BOOST_TEST(chooser.OutstandingOf("vm-5") == 1U);
  chooser.End(clock.Now(), "vm-5", attempt_signal::kInconclusive,
              milliseconds{1});
  BOOST_TEST(chooser.OutstandingOf("vm-5") == 0U);
}

BOOST_AUTO_TEST_CASE(AnEvacuatedUpstreamIsNeverChosen) {
  for (int number = 0; number < 4; ++number) {
    upstreams[static_cast<std::size_t>(number)].is_evacuated = true;
  }
  for (const auto& [vm, count] : Run(500, UniformLatency)) {
    BOOST_TEST(vm >= "vm-4");
  }
  // Not even when the others are ejected or not heard from.
  for (int number = 4; number < 7; ++number) {
    upstreams[static_cast<std::size_t>(number)].is_suspect = true;
  }
  BOOST_TEST(Choose()->vm >= "vm-4");
  for (upstream& each : upstreams) {
    each.is_evacuated = true;
  }
  BOOST_TEST(Choose() == nullptr);
}

BOOST_AUTO_TEST_CASE(AnUpstreamThatReturnsFromAnEvacuationStartsSlowly) {
  Run(100, UniformLatency);
  upstreams[0].is_evacuated = true;
  Run(100, UniformLatency);
  upstreams[0].is_evacuated = false;
  const auto chosen = Run(100, UniformLatency);
  const int returned = chosen.contains("vm-0") ? chosen.at("vm-0") : 0;
  BOOST_TEST(returned > 0);
  BOOST_TEST(returned < 15);
}

BOOST_AUTO_TEST_SUITE_END()
