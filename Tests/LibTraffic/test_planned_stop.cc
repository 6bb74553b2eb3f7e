#include <boost/test/unit_test.hpp>
#include <thread>

#include "Tests/LibTraffic/scripted_owner.h"
#include "Tests/LibTraffic/traffic_fixture.h"

using wagtailmount::time_point;
using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)

namespace {

// A refusal as not run that names no request; each of `more_fields` ends with
// CRLF.
std::string RefusalWithoutId(const std::string& more_fields) {
  return "HTTP/1.1 503 Service Unavailable\r\n"
         "Wagtailmount-Verdict: not-run\r\n"
         "Wagtailmount-Reason: draining\r\n" +
         more_fields + "Content-Length: 0\r\n\r\n";
}

// Lets all nodes take `owner` for the node beside the upstream.
void SendTo(const scripted_owner& owner, traffic_fixture& fixture) {
  fixture.Publish(
      [&owner](wagtailmount::upstream& each) { each.hop = owner.Address(); });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(planned_stop_suite)

// Guards against an attempt that began before the signal to stop, and keeps its
// own deadline, being cut with the process: in a queue, here or at another
// node, or at work.
BOOST_AUTO_TEST_CASE(WhatBeganBeforeAStopIsAnsweredBeforeTheEnd) {
  constexpr std::chrono::milliseconds kAnswerIn{500};
  constexpr std::chrono::milliseconds kEndMargin{150};
  const fixture_options options = SingleSlotOptions();
  struct stop_case {
    bool calls_owner;
    bool is_owner_stopping;
    unsigned running_status;
    unsigned waiting_status;
  };
  // An owner knows that a queued request hasn't run, and tells an entry that
  // withdraws it from there.
  const stop_case table[] = {
      {false, false, 504, 503},
      {false, true, 502, 503},
      {true, true, 504, 503},
  };
  for (const stop_case& each : table) {
    traffic_fixture fixture{1, options};
    fixture.Publish();
    auto& owner = fixture.Owner(1);
    auto& called = each.calls_owner ? owner : fixture.Entry();
    auto& stopping = each.is_owner_stopping ? owner : fixture.Entry();
    test_caller running{called.caller_address};
    running.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Fake: hang\r\n\r\n");
    BOOST_REQUIRE(
        Eventually([&] { return owner.backend_server->TotalRuns() == 1; }));
    test_caller waiting{called.caller_address};
    waiting.Send(
        "POST / HTTP/1.1\r\nHost: a\r\nX-Request-Id: waiting\r\n"
        "Content-Length: 2\r\n\r\nab");
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    const time_point answer_by = fixture.Now() + kAnswerIn;
    stopping.server->BeginStop(
        {.answer_by = answer_by, .verdict_wait = kEndMargin / 2});
    BOOST_TEST(waiting.Receive().status == each.waiting_status);
    BOOST_TEST(running.Receive().status == each.running_status);
    BOOST_TEST((fixture.Now() >= answer_by));
    BOOST_TEST((fixture.Now() <= answer_by + kEndMargin));
    BOOST_TEST(Eventually([&] { return stopping.server->HasWithdrawn(); }));
    BOOST_TEST(owner.backend_server->RunCount("waiting") == 0);
  }
}

// Guards against requests that are taken at the end of the grace period because
// the thread that ends the acceptance gets no turn.
BOOST_AUTO_TEST_CASE(AStoppingNodeRefusesRequestsByTheTime) {
  traffic_fixture fixture{1};
  fixture.Publish();
  auto& stopping = fixture.Owner(1);
  const time_point now = fixture.Now();
  stopping.server->BeginStop(
      {.drain_from = now, .answer_by = now + std::chrono::seconds{5}});
  const auto refused =
      Call(stopping.caller_address, "POST", "/", "", "amount=20");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.Field("Wagtailmount-Reason") == "draining");
  BOOST_TEST(Call(fixture.Entry().caller_address, "GET", "/").status == 503);
  BOOST_TEST(stopping.backend_server->TotalRuns() == 0);
}

// Guards against requests that cross the close of an idle connection between
// two nodes, and are answered as if they might have run.
BOOST_AUTO_TEST_CASE(AnIdleConnectionOfAnotherNodeIsClosedWithANotice) {
  traffic_fixture fixture{1};
  fixture.Publish();
  auto& stopping = fixture.Owner(1);
  const auto request = [](const std::string& id) {
    return "POST / HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id +
           "\r\nWagtailmount-Hop: vm-1 ledger 3000 0 1\r\n"
           "Content-Length: 2\r\n\r\nab";
  };
  test_caller other_node{stopping.hop_address};
  other_node.Send(request("before"));
  BOOST_REQUIRE(other_node.Receive().status == 200);
  stopping.server->BeginDrain();
  stopping.server->CloseIdleConnections();
  const auto notice = other_node.Receive();
  BOOST_TEST(notice.Field("Wagtailmount-Closing") == "1");
  BOOST_TEST(notice.Field("Wagtailmount-Verdict") == "not-run");
  BOOST_TEST(notice.Field("X-Request-Id") == "");
  other_node.Send(request("crossing"));
  BOOST_TEST(other_node.IsClosed());
  BOOST_TEST(
      Eventually([&] { return stopping.server->HasClosedIdleConnections(); }));
  BOOST_TEST(stopping.backend_server->RunCount("crossing") == 0);
}

BOOST_AUTO_TEST_CASE(ARequestThatCrossesTheNoticeHasNotRun) {
  traffic_fixture fixture{1};
  scripted_owner closing{
      2, [](const std::string&) {
        return RefusalWithoutId("Wagtailmount-Closing: 1\r\n");
      }};
  SendTo(closing, fixture);
  for (const char* method : {"GET", "POST"}) {
    const auto answer = Call(fixture.Entry().caller_address, method, "/");
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.Field("Wagtailmount-Verdict") == "not-run");
  }
}

// What another answer without the id of the request says is not about it.
BOOST_AUTO_TEST_CASE(ARefusalThatNamesNoRequestProvesNothing) {
  traffic_fixture fixture{1};
  scripted_owner faulty{
      1, [](const std::string&) { return RefusalWithoutId(""); }};
  SendTo(faulty, fixture);
  BOOST_TEST(Call(fixture.Entry().caller_address, "POST", "/").status == 502);
}

BOOST_AUTO_TEST_SUITE_END()
