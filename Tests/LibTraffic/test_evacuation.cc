// An evacuated failure domain over real sockets: vm-1 is in it, vm-2 is not.

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <vector>

#include "Tests/LibTraffic/traffic_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)
using wagtailmount::own_backend_server;
using wagtailmount::time_point;
using wagtailmount::upstream;

namespace {

fixture_options OneSlot() {
  fixture_options options;
  options.limits.slots = 1;
  options.deadline = std::chrono::milliseconds{8'000};
  return options;
}

void BothVms(upstream& each) {
  each.failure_domain = each.vm == "vm-1" ? "fsd-hall" : "lhr-hall";
}

void FirstPreferred(upstream& each) {
  BothVms(each);
  each.is_suspect = each.vm != "vm-1";
}

void FirstEvacuated(upstream& each) {
  BothVms(each);
  each.is_evacuated = each.vm == "vm-1";
}

void AllEvacuated(upstream& each) { each.is_evacuated = true; }

struct evacuation_fixture : traffic_fixture {
  evacuation_fixture() : traffic_fixture(2, OneSlot()) { Publish(BothVms); }

  own_backend_server Own(time_point evacuated_since) const {
    own_backend_server own;
    own.service = "ledger";
    own.limits.slots = 1;
    own.evacuated_since = evacuated_since;
    return own;
  }

  // The owner knows of its evacuation; the other nodes may not yet.
  void EvacuateOwner() { PublishTo(Owner(1), FirstEvacuated, Own(Now())); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_suite, evacuation_fixture)

// One runs and three wait at vm-1 as its failure domain is evacuated; the entry
// node learns of it only by the refusals.
BOOST_AUTO_TEST_CASE(WhatIsQueuedAtAnEvacuatedOwnerIsServedElsewhere) {
  PublishTo(Entry(), FirstPreferred, std::nullopt);
  const auto call = [this] {
    return Call(Entry().caller_address, "POST", "/", "X-Fake: wait\r\n",
                "amount=20");
  };
  std::vector<std::future<received_answer>> calls;
  calls.push_back(std::async(std::launch::async, call));
  BOOST_REQUIRE(
      Eventually([&] { return Owner(1).backend_server->TotalRuns() == 1; }));
  for (int number = 0; number < 3; ++number) {
    calls.push_back(std::async(std::launch::async, call));
  }
  BOOST_REQUIRE(
      Eventually([&] { return Owner(1).server->Counters().in_flight == 4U; }));
  Owner(2).backend_server->ReleaseWaitingRequests();
  EvacuateOwner();
  BOOST_TEST(Eventually([&] {
    return Owner(1).server->Counters().owner_refused_evacuated == 3U;
  }));
  Owner(1).backend_server->ReleaseWaitingRequests();
  for (auto& each : calls) {
    BOOST_TEST(each.get().status == 200);
  }
  BOOST_TEST(Owner(1).backend_server->TotalRuns() == 1);
  BOOST_TEST(Owner(2).backend_server->TotalRuns() == 3);
}

BOOST_AUTO_TEST_CASE(AnEntryThatKnowsNothingYetTriesAnotherFailureDomain) {
  EvacuateOwner();
  for (int number = 0; number < 20; ++number) {
    const auto answer =
        Call(Entry().caller_address, "POST", "/", "", "amount=20");
    BOOST_TEST(answer.status == 200);
  }
  BOOST_TEST(Owner(1).backend_server->TotalRuns() == 0);
  BOOST_TEST(Owner(2).backend_server->TotalRuns() == 20);
}

// Its callers stay connected, and are served from other failure domains.
BOOST_AUTO_TEST_CASE(CallersOfAnEvacuatedNodeAreServedFromElsewhere) {
  EvacuateOwner();
  const auto answer =
      Call(Owner(1).caller_address, "POST", "/", "", "amount=20");
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.Field("Connection") != "close");
  BOOST_TEST(Owner(1).backend_server->TotalRuns() == 0);
}

BOOST_AUTO_TEST_CASE(WithAllFailureDomainsEvacuatedNothingIsRun) {
  Publish(AllEvacuated);
  const auto answer =
      Call(Entry().caller_address, "POST", "/", "", "amount=20");
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.Field("Wagtailmount-Verdict") == "not-run");
  BOOST_TEST(answer.Field("Wagtailmount-Reason") == "evacuated");
  BOOST_TEST(!answer.Field("Retry-After").empty());
}

BOOST_AUTO_TEST_SUITE_END()
