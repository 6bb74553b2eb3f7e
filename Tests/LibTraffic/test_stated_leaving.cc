// Backend servers that state in their answers that they leave.

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <thread>

#include "Tests/LibTraffic/traffic_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using wagtailmount::endpoint;

namespace {

// For how long an owner still starts requests at a backend server that leaves,
// and some more for a busy machine.
constexpr milliseconds kAfterLeaving{1'000};

fixture_options Options() {
  fixture_options options;
  options.expected_backend_server = "X-Backend-Id";
  return options;
}

struct stated_leaving_fixture : traffic_fixture {
  stated_leaving_fixture() : traffic_fixture(2, Options()) {
    Publish();
    Owner(1).backend_server->SetAnswerFields("X-Backend-Leaving: 1\r\n");
  }

  // Calls until vm-1 has answered, so that the node has passed on its
  // statement.
  bool PassOnStatement(const endpoint& node) {
    return Eventually([&] {
      Call(node, "POST", "/", "", "amount=20");
      return Owner(1).backend_server->TotalRuns() > 0;
    });
  }

  int RunsAtLeavingAfterCalls(const endpoint& node) {
    const int before = Owner(1).backend_server->TotalRuns();
    for (int call = 0; call < 40; ++call) {
      const auto answer = Call(node, "POST", "/", "", "amount=20");
      BOOST_TEST(answer.status == 200);
    }
    return Owner(1).backend_server->TotalRuns() - before;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(stated_leaving_suite, stated_leaving_fixture)

// The platform has not told the leaving, or this node can't reach it.
BOOST_AUTO_TEST_CASE(ANodeThatPassedOnALeavingSendsNothingMoreThere) {
  BOOST_REQUIRE(PassOnStatement(Entry().caller_address));
  BOOST_TEST(RunsAtLeavingAfterCalls(Entry().caller_address) == 0);
  BOOST_TEST(Owner(1).server->Counters().owner_refused == 0U);
}

BOOST_AUTO_TEST_CASE(ALeavingOutlivesASnapshotWithoutTheBackendServer) {
  BOOST_REQUIRE(PassOnStatement(Entry().caller_address));
  Publish([](wagtailmount::upstream& each) {
    each.is_leaving = each.vm == "vm-1";
  });
  Publish();
  BOOST_TEST(RunsAtLeavingAfterCalls(Entry().caller_address) == 0);
}

BOOST_AUTO_TEST_CASE(TheNextStartOfTheBackendServerGetsRequests) {
  BOOST_REQUIRE(PassOnStatement(Entry().caller_address));
  Owner(1).backend_server->SetAnswerFields("");
  Publish([](wagtailmount::upstream& each) {
    each.incarnation = 2;
    each.backend_server_id = "next-" + each.vm;
  });
  BOOST_TEST(RunsAtLeavingAfterCalls(Entry().caller_address) > 0);
}

// Other nodes may not know it yet; the owner has seen every answer.
BOOST_AUTO_TEST_CASE(AnOwnerStartsNothingAfterItsBackendServerStatedALeaving) {
  BOOST_REQUIRE(PassOnStatement(Entry().caller_address));
  std::this_thread::sleep_for(kAfterLeaving);
  const int before = Owner(1).backend_server->TotalRuns();
  const auto refused =
      Call(Owner(1).hop_address, "POST", "/",
           "X-Request-Id: from-another-node\r\nX-Backend-Id: backend-vm-1\r\n"
           "Wagtailmount-Hop: vm-1 ledger 3000 0 1\r\n",
           "amount=20");
  BOOST_TEST(refused.Field("Wagtailmount-Verdict") == "not-run");
  BOOST_TEST(refused.Field("Wagtailmount-Reason") == "draining");
  BOOST_TEST(Owner(1).backend_server->TotalRuns() == before);
}

// A node that learns of the leaving by a refusal asks that owner once.
BOOST_AUTO_TEST_CASE(ARefusalByALeavingOwnerIsRemembered) {
  BOOST_REQUIRE(PassOnStatement(Owner(1).caller_address));
  std::this_thread::sleep_for(kAfterLeaving);
  BOOST_TEST(RunsAtLeavingAfterCalls(Entry().caller_address) == 0);
  BOOST_TEST(Owner(1).server->Counters().owner_refused <= 1U);
}

// The refusal is what the backend server answered itself.
BOOST_AUTO_TEST_CASE(
    ARefusalInWhichABackendServerStatesItsLeavingIsRemembered) {
  Publish([](wagtailmount::upstream& each) {
    each.is_leaving = each.vm != "vm-1";
  });
  Call(Entry().caller_address, "POST", "/", "X-Fake: not-run\r\n", "amount=20");
  Publish();
  BOOST_TEST(RunsAtLeavingAfterCalls(Entry().caller_address) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
