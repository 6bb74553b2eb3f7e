// Requests that crash the backend servers that run them.

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "LibLoad/trial_upstream.h"
#include "LibTraffic/header_fields.h"
#include "LibTraffic/request_fingerprints.h"
#include "Tests/LibTraffic/traffic_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using wagtailmount::crash_report;
using wagtailmount::request_fingerprint;
using wagtailmount::upstream;

namespace {

constexpr int kOwners = 8;
constexpr const char* kCrash = "X-Fake: crash\r\n";

fixture_options Options() {
  fixture_options options;
  options.expected_backend_server = "X-Backend-Id";
  options.budget_share = 4.0;
  return options;
}

struct quarantine_fixture : traffic_fixture {
  quarantine_fixture() : traffic_fixture(kOwners, Options()) { Publish(); }

  std::vector<test_vm*> Nodes() {
    std::vector<test_vm*> nodes{&Entry()};
    for (int number = 1; number <= kOwners; ++number) {
      nodes.push_back(&Owner(number));
    }
    return nodes;
  }

  // What the control links do.
  void SpreadReports() {
    for (test_vm* const from : Nodes()) {
      const auto news = from->server->CrashReports().TakeNews();
      for (test_vm* const to : Nodes()) {
        to->server->CrashReports().Merge(news);
      }
    }
  }

  int Crashes() {
    int crashes = 0;
    for (int number = 1; number <= kOwners; ++number) {
      crashes += Owner(number).backend_server->HasCrashed() ? 1 : 0;
    }
    return crashes;
  }

  int Runs() {
    int runs = 0;
    for (int number = 1; number <= kOwners; ++number) {
      runs += Owner(number).backend_server->TotalRuns();
    }
    return runs;
  }

  std::size_t KnownReports(test_vm& vm) {
    return vm.server->CrashReports().Summary().size();
  }

  static request_fingerprint FingerprintOfGet(const char* target) {
    wagtailmount::detail::outgoing_request request;
    request.message.method_string("GET");
    request.message.target(target);
    request.message.set(boost::beast::http::field::host, "ledger");
    return wagtailmount::detail::FingerprintOf(request, {});
  }

  void TellAllNodes(const std::vector<crash_report>& reports) {
    for (test_vm* const each : Nodes()) {
      each->server->CrashReports().Merge(reports);
    }
  }

  // Lets all nodes know of two crashes under "GET /tried", long enough ago for
  // a trial.
  void QuarantineTried() {
    tried = FingerprintOfGet("/tried");
    constexpr std::chrono::seconds kAge{31};
    TellAllNodes({{tried, 1, 1, false, kAge}, {tried, 2, 2, false, kAge}});
  }

  // Lets all nodes know of two crashes beside which "GET `target`" ran.
  void SuspectTwice(const char* target) {
    const request_fingerprint beside = FingerprintOfGet(target);
    constexpr std::chrono::seconds kAge{1};
    TellAllNodes({{beside, 3, 1, false, kAge}, {beside, 4, 1, false, kAge}});
  }

  request_fingerprint tried;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(quarantine_suite, quarantine_fixture)

BOOST_AUTO_TEST_CASE(ARequestThatCrashesBackendServersCostsTwoOfThem) {
  const auto first = Call(Entry().caller_address, "GET", "/lethal", kCrash);
  BOOST_TEST(first.status == 502);
  BOOST_TEST(first.Field("Wagtailmount-Verdict") == "may-have-run");
  BOOST_TEST(Crashes() == 2);
  SpreadReports();
  const int runs = Runs();
  for (test_vm* const each : Nodes()) {
    const auto refused = Call(each->caller_address, "GET", "/lethal", kCrash);
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.Field("Wagtailmount-Verdict") == "not-run");
    BOOST_TEST(refused.Field("Wagtailmount-Reason") == "quarantined");
    BOOST_TEST(each->server->Counters().refused_quarantined >= 1U);
  }
  BOOST_TEST(Runs() == runs);
  BOOST_TEST(Crashes() == 2);
}

// Callers send it at several nodes at once, before any node knows of a crash;
// the backend servers come back and must not be lost again.
BOOST_AUTO_TEST_CASE(ARequestThatComesAtManyNodesAtOnceIsStoppedAfterwards) {
  std::vector<std::thread> callers;
  for (int number = 0; number < 4; ++number) {
    callers.emplace_back([this, number] {
      Call(Nodes()[number]->caller_address, "GET", "/lethal", kCrash);
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(Crashes() >= 2);
  SpreadReports();
  for (int number = 1; number <= kOwners; ++number) {
    if (Owner(number).backend_server->HasCrashed()) {
      RestartBackendServer(number);
    }
  }
  const int runs = Runs();
  for (int round = 0; round < 3; ++round) {
    for (test_vm* const each : Nodes()) {
      const auto refused = Call(each->caller_address, "GET", "/lethal", kCrash);
      BOOST_TEST(refused.status == 503);
      BOOST_TEST(refused.Field("Wagtailmount-Verdict") == "not-run");
    }
  }
  BOOST_TEST(Runs() == runs);
  BOOST_TEST(Crashes() == 0);
}

// Another target, body or method is another request.
BOOST_AUTO_TEST_CASE(RequestsThatDifferFromOneInQuarantineAreServed) {
  Call(Entry().caller_address, "GET", "/lethal", kCrash, "body");
  SpreadReports();
  BOOST_REQUIRE(Crashes() == 2);
  for (test_vm* const each : Nodes()) {
    const auto& address = each->caller_address;
    BOOST_TEST(Call(address, "GET", "/lethal").status == 200);
    BOOST_TEST(Call(address, "GET", "/lethal", {}, "other").status == 200);
    BOOST_TEST(Call(address, "PUT", "/lethal", {}, "body").status == 200);
    BOOST_TEST(Call(address, "GET", "/lethal?a", {}, "body").status == 200);
    BOOST_TEST(Call(address, "GET", "/lethal", {}, "body").status == 503);
  }
}

// Without a link between them, the owner's refusal tells the entry, and the
// entry's request the owner.
BOOST_AUTO_TEST_CASE(NodesLearnOfCrashesWithTheRequestItself) {
  Call(Entry().caller_address, "GET", "/lethal", kCrash);
  BOOST_REQUIRE(Crashes() == 2);
  const auto known = Entry().server->CrashReports().Summary();
  BOOST_TEST(known.size() == 2U);
  for (int number = 1; number <= kOwners; ++number) {
    Owner(number).server->CrashReports().Merge(known);
  }
  RestartEntry();
  Publish();
  const int runs = Runs();
  const auto refused = Call(Entry().caller_address, "GET", "/lethal", kCrash);
  BOOST_TEST(refused.Field("Wagtailmount-Reason") == "quarantined");
  BOOST_TEST(Runs() == runs);
  BOOST_TEST(KnownReports(Entry()) == 2U);
}

BOOST_AUTO_TEST_CASE(APostingThatCrashesItsBackendServerIsNotRepeated) {
  const auto first =
      Call(Entry().caller_address, "POST", "/lethal", kCrash, "posting");
  BOOST_TEST(first.status == 502);
  BOOST_TEST(first.Field("Wagtailmount-Verdict") == "may-have-run");
  BOOST_TEST(Crashes() == 1);
  SpreadReports();
  Call(Owner(1).caller_address, "POST", "/lethal", kCrash, "posting");
  SpreadReports();
  BOOST_TEST(Crashes() == 2);
  const auto refused =
      Call(Owner(2).caller_address, "POST", "/lethal", kCrash, "posting");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(Crashes() == 2);
}

// What only loses its connection does not crash the backend server.
BOOST_AUTO_TEST_CASE(LostAnswersAreNoCrashes) {
  for (const char* fault : {"reset-after-read", "truncate", "close-unread"}) {
    for (int count = 0; count < 3; ++count) {
      Call(Entry().caller_address, "GET", "/",
           std::string{"X-Fake: "} + fault + "\r\n");
    }
  }
  for (test_vm* const each : Nodes()) {
    BOOST_TEST(KnownReports(*each) == 0U);
  }
  BOOST_TEST(Call(Entry().caller_address, "GET", "/").status == 200);
}

// It runs beside the one that crashes the backend servers, and again beside the
// next.
BOOST_AUTO_TEST_CASE(ASoundRequestBesideACrashGoesOnBeingServed) {
  for (const std::string culprit : {"/one", "/two"}) {
    std::vector<std::thread> callers;
    std::atomic<int> served{0};
    const int runs = Runs();
    for (int count = 0; count < 8; ++count) {
      callers.emplace_back([&] {
        served +=
            Call(Entry().caller_address, "GET", "/sound", "X-Fake: slow\r\n")
                        .status == 200
                ? 1
                : 0;
      });
    }
    BOOST_REQUIRE(Eventually([&] { return Runs() >= runs + 8; }));
    Call(Entry().caller_address, "GET", culprit, kCrash);
    for (std::thread& caller : callers) {
      caller.join();
    }
    BOOST_TEST(served == 8);
    SpreadReports();
  }
  // A third one each where a sound request ran at the first two.
  BOOST_TEST(Crashes() >= 4);
  BOOST_TEST(Crashes() <= 6);
  for (test_vm* const each : Nodes()) {
    BOOST_TEST(Call(each->caller_address, "GET", "/sound").status == 200);
  }
}

BOOST_AUTO_TEST_CASE(AStreamedAnswerSpeaksForItsRequestOnceItIsWhole) {
  Publish([](upstream& each) { each.is_leaving = each.vm != "vm-1"; });
  std::thread beside([this] {
    Call(Entry().caller_address, "GET", "/big", "X-Fake: hang\r\n");
  });
  BOOST_REQUIRE(Eventually([this] { return Runs() == 1; }));
  Call(Entry().caller_address, "GET", "/lethal", kCrash);
  beside.join();
  BOOST_TEST(KnownReports(Entry()) == 2U);
  Publish([](upstream& each) { each.is_leaving = each.vm != "vm-2"; });
  const auto answer =
      Call(Entry().caller_address, "GET", "/big", "X-Fake: long\r\n");
  BOOST_TEST(answer.is_complete);
  SpreadReports();
  BOOST_TEST(KnownReports(Entry()) == 1U);
}

BOOST_AUTO_TEST_CASE(ATrialThatIsAnsweredEndsTheQuarantineEverywhere) {
  QuarantineTried();
  BOOST_TEST(Call(Entry().caller_address, "GET", "/tried").status == 200);
  SpreadReports();
  for (test_vm* const each : Nodes()) {
    BOOST_TEST(Call(each->caller_address, "GET", "/tried").status == 200);
  }
}

BOOST_AUTO_TEST_CASE(ATrialCostsOneBackendServerAtMost) {
  QuarantineTried();
  for (test_vm* const each : Nodes()) {
    Call(each->caller_address, "GET", "/tried", kCrash);
  }
  BOOST_TEST(Crashes() == 1);
  SpreadReports();
  for (test_vm* const each : Nodes()) {
    BOOST_TEST(Call(each->caller_address, "GET", "/tried", kCrash).status ==
               503);
  }
  BOOST_TEST(Crashes() == 1);
}

// The trial would show nothing beside another suspect, so it waits for its end.
BOOST_AUTO_TEST_CASE(ATrialRefusedForAnotherSuspectIsStillDue) {
  SuspectTwice("/beside");
  QuarantineTried();
  Publish([](upstream& each) { each.is_leaving = each.vm != "vm-1"; });
  std::thread beside([this] {
    Call(Entry().caller_address, "GET", "/beside", "X-Fake: wait\r\n");
  });
  BOOST_TEST(Eventually([this] { return Runs() == 1; }));
  BOOST_TEST(Call(Entry().caller_address, "GET", "/tried").status == 503);
  Owner(1).backend_server->ReleaseWaitingRequests();
  beside.join();
  BOOST_TEST(Call(Entry().caller_address, "GET", "/tried").status == 200);
}

// Another start of the backend server gave it, which did not run the request.
BOOST_AUTO_TEST_CASE(AMisdirectedAnswerDoesNotSpeakForItsRequest) {
  SuspectTwice("/lethal");
  const auto answer = Call(Entry().caller_address, "GET", "/lethal",
                           "X-Fake: plain-misdirected\r\n");
  BOOST_TEST(answer.status == 421);
  SpreadReports();
  for (test_vm* const each : Nodes()) {
    BOOST_TEST(KnownReports(*each) == 2U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
