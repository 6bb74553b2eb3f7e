#include <boost/test/unit_test.hpp>
#include <deque>

#include "Tests/LibTraffic/traffic_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_SUITE(drain_suite)

BOOST_AUTO_TEST_CASE(WhatIsInFlightFinishesAndNewWorkIsRefused) {
  traffic_fixture fixture{2};
  fixture.Publish();
  auto& leaving = fixture.Owner(1);
  test_caller running{leaving.caller};
  running.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Fake: slow\r\n\r\n");
  test_caller idle{leaving.caller};
  idle.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(idle.Receive().status == 200);
  BOOST_TEST(!leaving.server->IsIdle());

  leaving.server->BeginDrain();
  idle.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  const auto refused = idle.Receive();
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.Field("Wagtailmount-Verdict") == "not-run");
  BOOST_TEST(refused.Field("Wagtailmount-Reason") == "draining");
  BOOST_TEST(refused.Field("Connection") == "close");
  BOOST_TEST(idle.IsClosed());

  const auto finished = running.Receive();
  BOOST_TEST(finished.status == 200);
  BOOST_TEST(finished.is_whole);
  BOOST_TEST(finished.Field("Connection") == "close");
  BOOST_TEST(Eventually([&] { return leaving.server->IsIdle(); }));
}

BOOST_AUTO_TEST_CASE(ALeavingEntryServesItsCallersByOtherUpstreams) {
  traffic_fixture fixture{2};
  fixture.Publish();
  auto& leaving = fixture.Owner(1);
  leaving.server->BeginLeaving();
  for (int call = 0; call < 20; ++call) {
    const auto answer = Call(leaving.caller, "POST", "/", "", "amount=20");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.Field("Connection") == "close");
  }
  BOOST_TEST(leaving.backend_server->AllRuns() == 0);
  BOOST_TEST(fixture.Owner(2).backend_server->AllRuns() == 20);
}

BOOST_AUTO_TEST_CASE(AStoppingProcessStillReachesItsBackendServer) {
  traffic_fixture fixture{1};
  fixture.Publish();
  auto& stopping = fixture.Owner(1);
  stopping.server->BeginStop();
  for (int call = 0; call < 20; ++call) {
    const auto own = Call(stopping.caller, "POST", "/", "", "amount=20");
    BOOST_TEST(own.status == 200);
    BOOST_TEST(own.Field("Connection") == "close");
    BOOST_TEST(Call(fixture.Entry().caller, "GET", "/").status == 200);
  }
  BOOST_TEST(stopping.backend_server->AllRuns() == 40);
}

// Where the limit is strictest, no request may start at a backend server that
// announced its leaving 2 s ago. The owner may learn of it 1.2 s late, so it
// refuses requests from 0.8 s after it learned of it.
BOOST_AUTO_TEST_CASE(AnOwnerStartsNothingLongAfterItsBackendServersLeaving) {
  traffic_fixture fixture{1};
  wagtailmount::own_backend_server own;
  own.service = "ledger";
  own.leaving_since = fixture.Now();
  fixture.Publish({}, own);
  auto& owner = fixture.Owner(1);
  BOOST_TEST(Call(fixture.Entry().caller, "GET", "/").status == 200);
  own.leaving_since = fixture.Now() - std::chrono::milliseconds{800};
  fixture.Publish({}, own);
  const auto refused = Call(fixture.Entry().caller, "GET", "/");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.Field("Wagtailmount-Verdict") == "not-run");
  BOOST_TEST(owner.backend_server->AllRuns() == 1);
}

BOOST_AUTO_TEST_CASE(ConnectionsMadeBeforeTheDrainGetTheirAnswer) {
  traffic_fixture fixture{2};
  fixture.Publish();
  auto& leaving = fixture.Owner(1);
  std::deque<test_caller> connected;
  for (int caller = 0; caller < 20; ++caller) {
    connected.emplace_back(leaving.caller);
  }
  leaving.server->BeginDrain();
  for (auto& caller : connected) {
    caller.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(caller.Receive().Field("Wagtailmount-Reason") == "draining");
  }
}

BOOST_AUTO_TEST_CASE(OtherNodesTakeTheirWorkElsewhere) {
  traffic_fixture fixture{2};
  fixture.Publish();
  fixture.Owner(1).server->BeginDrain();
  for (int call = 0; call < 20; ++call) {
    const auto answer =
        Call(fixture.Entry().caller, "POST", "/", "", "amount=20");
    BOOST_TEST(answer.status == 200);
  }
  BOOST_TEST(fixture.Owner(1).backend_server->AllRuns() == 0);
  BOOST_TEST(fixture.Owner(2).backend_server->AllRuns() == 20);
}

BOOST_AUTO_TEST_SUITE_END()
