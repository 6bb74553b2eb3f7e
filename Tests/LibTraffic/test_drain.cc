#include <atomic>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>
#include <stdexcept>
#include <thread>
#include <vector>

#include "LibLoad/start_check.h"
#include "Tests/LibTraffic/traffic_fixture.h"

using wagtailmount::time_point;
using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_SUITE(drain_suite)

BOOST_AUTO_TEST_CASE(DrainFinishesRequestsInFlightAndRefusesNewOnes) {
  traffic_fixture fixture{2};
  fixture.Publish();
  auto& draining = fixture.Owner(1);
  test_caller slow_caller{draining.caller_address};
  slow_caller.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Fake: slow\r\n\r\n");
  test_caller idle_caller{draining.caller_address};
  idle_caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(idle_caller.Receive().status == 200);
  BOOST_TEST(!draining.server->IsIdle());

  draining.server->BeginDrain();
  idle_caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  const auto refused = idle_caller.Receive();
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.Field("Wagtailmount-Verdict") == "not-run");
  BOOST_TEST(refused.Field("Wagtailmount-Reason") == "draining");
  BOOST_TEST(refused.Field("Connection") == "close");
  BOOST_TEST(idle_caller.IsClosed());

  const auto finished = slow_caller.Receive();
  BOOST_TEST(finished.status == 200);
  BOOST_TEST(finished.is_complete);
  BOOST_TEST(finished.Field("Connection") == "close");
  BOOST_TEST(Eventually([&] { return draining.server->IsIdle(); }));
}

BOOST_AUTO_TEST_CASE(ALeavingNodeServesItsCallersThroughOtherUpstreams) {
  traffic_fixture fixture{2};
  fixture.Publish();
  auto& leaving = fixture.Owner(1);
  leaving.server->BeginLeaving();
  for (int call = 0; call < 20; ++call) {
    const auto answer =
        Call(leaving.caller_address, "POST", "/", "", "amount=20");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.Field("Connection") == "close");
  }
  BOOST_TEST(leaving.backend_server->TotalRuns() == 0);
  BOOST_TEST(fixture.Owner(2).backend_server->TotalRuns() == 20);
}

BOOST_AUTO_TEST_CASE(AStoppingNodeStillForwardsToItsBackendServer) {
  traffic_fixture fixture{1};
  fixture.Publish();
  auto& stopping = fixture.Owner(1);
  stopping.server->BeginStop(
      {.answer_by = fixture.Now() + std::chrono::seconds{5}});
  for (int call = 0; call < 20; ++call) {
    const auto answer =
        Call(stopping.caller_address, "POST", "/", "", "amount=20");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.Field("Connection") == "close");
    BOOST_TEST(Call(fixture.Entry().caller_address, "GET", "/").status == 200);
  }
  BOOST_TEST(stopping.backend_server->TotalRuns() == 40);
}

// An owner may learn of its backend server's leaving late, so it refuses
// requests soon after. A time to come keeps the first call within the grace
// period, however slow the machine.
BOOST_AUTO_TEST_CASE(AnOwnerRefusesRequestsOnceTheGracePeriodOfLeavingIsOver) {
  traffic_fixture fixture{1};
  wagtailmount::own_backend_server backend;
  backend.service = "ledger";
  backend.leaving_since = fixture.Now() + std::chrono::seconds{1};
  fixture.Publish({}, backend);
  auto& owner = fixture.Owner(1);
  BOOST_TEST(Call(fixture.Entry().caller_address, "GET", "/").status == 200);
  backend.leaving_since = fixture.Now() - wagtailmount::kLeavingGracePeriod;
  fixture.Publish({}, backend);
  const auto refused = Call(fixture.Entry().caller_address, "GET", "/");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.Field("Wagtailmount-Verdict") == "not-run");
  BOOST_TEST(owner.backend_server->TotalRuns() == 1);
}

// A request may wait for a slot for longer than its backend server may still be
// given work.
BOOST_AUTO_TEST_CASE(ARequestQueuedUntilTheBackendServerHasLeftNeverStarts) {
  const fixture_options options = SingleSlotOptions();
  traffic_fixture fixture{1, options};
  wagtailmount::own_backend_server backend;
  backend.service = "ledger";
  backend.limits = options.limits;
  fixture.Publish({}, backend);
  auto& owner = fixture.Owner(1);
  test_caller slot_holder{owner.caller_address};
  slot_holder.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Fake: slow\r\n\r\n");
  BOOST_REQUIRE(
      Eventually([&] { return owner.backend_server->TotalRuns() == 1; }));
  test_caller queued{fixture.Entry().caller_address};
  queued.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: queued\r\n\r\n");
  BOOST_REQUIRE(Eventually([&] { return !fixture.Entry().server->IsIdle(); }));
  std::this_thread::sleep_for(std::chrono::milliseconds{50});
  backend.leaving_since = fixture.Now() - 2 * wagtailmount::kLeavingGracePeriod;
  fixture.Publish({}, backend);
  const auto refused = queued.Receive();
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.Field("Wagtailmount-Verdict") == "not-run");
  BOOST_TEST(refused.Field("Wagtailmount-Reason") == "draining");
  BOOST_TEST(slot_holder.Receive().status == 200);
  BOOST_TEST(owner.backend_server->RunCount("queued") == 0);
}

// Callers whose requests wait for a slot may have much more time than the
// process has. They are told that nothing ran while they can still be told.
BOOST_AUTO_TEST_CASE(ARequestThatWaitsAtAStoppingNodeIsAnsweredBeforeTheEnd) {
  constexpr std::chrono::milliseconds kAnswerIn{500};
  // The process ends this long after the last answers are due.
  constexpr std::chrono::milliseconds kEndMargin{150};
  const fixture_options options = SingleSlotOptions();
  for (const bool is_owner_stopping : {false, true}) {
    traffic_fixture fixture{1, options};
    fixture.Publish();
    auto& owner = fixture.Owner(1);
    test_caller slot_holder{owner.caller_address};
    slot_holder.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Fake: hang\r\n\r\n");
    BOOST_REQUIRE(
        Eventually([&] { return owner.backend_server->TotalRuns() == 1; }));
    auto& stopping = is_owner_stopping ? owner : fixture.Entry();
    const time_point answer_by = fixture.Now() + kAnswerIn;
    stopping.server->BeginStop({.answer_by = answer_by});
    const auto refused =
        Call(fixture.Entry().caller_address, "POST", "/", "", "amount=20");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.Field("Wagtailmount-Verdict") == "not-run");
    BOOST_TEST((fixture.Now() <= answer_by + kEndMargin));
  }
}

// A planned stop under load. A caller may find its connection reset, which says
// that its request was not read; it may not find it ended after its request was
// read.
BOOST_AUTO_TEST_CASE(AStopUnderLoadEndsNoConnectionWithARequestThatWasRead) {
  for (const std::uint32_t threads : {1U, 3U}) {
    for (int round = 0; round < 10; ++round) {
      traffic_fixture fixture{2, {}, threads};
      fixture.Publish();
      auto& stopping = fixture.Owner(1);
      std::atomic<bool> has_stopped{false};
      std::atomic<int> cut{0};
      std::atomic<int> answered{0};
      std::vector<std::thread> callers;
      for (int number = 0; number < 8; ++number) {
        callers.emplace_back([&, number] {
          // Other nodes go on sending until they can't connect any more.
          for (int call = 0; !has_stopped; ++call) {
            std::optional<test_caller> caller;
            try {
              caller.emplace(stopping.hop_address);
            } catch (const std::runtime_error&) {
              return;
            }
            caller->Send("POST / HTTP/1.1\r\nHost: a\r\nX-Request-Id: " +
                         std::to_string(number) + "-" + std::to_string(call) +
                         "\r\nWagtailmount-Hop: vm-1 ledger 3000 0 1\r\n"
                         "Content-Length: 2\r\n\r\nab");
            if (caller->Receive().is_complete) {
              ++answered;
            } else {
              cut += caller->HasPeerReadEverything() ? 1 : 0;
            }
          }
        });
      }
      BOOST_REQUIRE(Eventually([&] { return answered > 40; }));
      stopping.server->BeginDrain();
      stopping.server->CloseIdleConnections();
      BOOST_TEST(Eventually([&] {
        return stopping.server->HasClosedIdleConnections() &&
               stopping.server->IsIdle();
      }));
      stopping.server.reset();
      has_stopped = true;
      for (std::thread& caller : callers) {
        caller.join();
      }
      BOOST_TEST(cut == 0);
    }
  }
}

// An upstream may count as gone only because its VM was silent. What runs there
// goes on, and its answer is delivered; it is not started elsewhere.
BOOST_AUTO_TEST_CASE(WhatRunsAtAnUpstreamThatCountsAsGoneGoesOn) {
  fixture_options options;
  options.deadline = std::chrono::milliseconds{9'000};
  traffic_fixture fixture{2, options};
  const auto leave_one = [](int number) {
    return [number](wagtailmount::upstream& each) {
      each.is_leaving = each.vm != "vm-" + std::to_string(number);
    };
  };
  fixture.Publish(leave_one(1));
  auto& owner = fixture.Owner(1);
  std::deque<test_caller> callers;
  for (const auto& address :
       {fixture.Entry().caller_address, owner.caller_address}) {
    callers.emplace_back(address);
    callers.back().Send("GET / HTTP/1.1\r\nHost: a\r\nX-Fake: wait\r\n\r\n");
  }
  BOOST_REQUIRE(
      Eventually([&] { return owner.backend_server->TotalRuns() == 2; }));
  wagtailmount::own_backend_server gone;
  gone.service = "ledger";
  gone.leaving_since = fixture.Now() - std::chrono::seconds{5};
  fixture.Publish(leave_one(2), gone);
  std::this_thread::sleep_for(std::chrono::milliseconds{300});
  owner.backend_server->ReleaseWaitingRequests();
  for (test_caller& caller : callers) {
    BOOST_TEST(caller.Receive().status == 200);
  }
  BOOST_TEST(owner.backend_server->TotalRuns() == 2);
  BOOST_TEST(fixture.Owner(2).backend_server->TotalRuns() == 0);
}

BOOST_AUTO_TEST_CASE(ConnectionsOpenedBeforeTheDrainAreRefusedAsDraining) {
  traffic_fixture fixture{2};
  fixture.Publish();
  auto& draining = fixture.Owner(1);
  std::deque<test_caller> callers;
  for (int count = 0; count < 20; ++count) {
    callers.emplace_back(draining.caller_address);
  }
  draining.server->BeginDrain();
  for (auto& caller : callers) {
    caller.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(caller.Receive().Field("Wagtailmount-Reason") == "draining");
  }
}

BOOST_AUTO_TEST_CASE(OtherNodesSendRequestsOfADrainingOwnerToAnotherUpstream) {
  traffic_fixture fixture{2};
  fixture.Publish();
  fixture.Owner(1).server->BeginDrain();
  for (int call = 0; call < 20; ++call) {
    const auto answer =
        Call(fixture.Entry().caller_address, "POST", "/", "", "amount=20");
    BOOST_TEST(answer.status == 200);
  }
  BOOST_TEST(fixture.Owner(1).backend_server->TotalRuns() == 0);
  BOOST_TEST(fixture.Owner(2).backend_server->TotalRuns() == 20);
}

BOOST_AUTO_TEST_SUITE_END()
