#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <thread>

#include "Tests/LibTraffic/traffic_fixture.h"

using wagtailmount::endpoint;
using wagtailmount::testing::Call;
using wagtailmount::testing::fixture_options;
using wagtailmount::testing::test_caller;
using wagtailmount::testing::traffic_fixture;

BOOST_AUTO_TEST_SUITE(request_path_suite)

BOOST_AUTO_TEST_CASE(RequestsAreRefusedUntilThereIsAConfiguration) {
  traffic_fixture fixture{1};
  const auto answer = Call(fixture.Entry().caller_address, "GET", "/balance");
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.Field("Wagtailmount-Verdict") == "not-run");
  BOOST_TEST(answer.Field("Wagtailmount-Reason") == "no-configuration");
  BOOST_TEST(!answer.Field("Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(ARequestReachesAnotherNodesBackendServer) {
  traffic_fixture fixture{1};
  fixture.Publish();
  const auto answer =
      Call(fixture.Entry().caller_address, "POST", "/postings?at=door",
           "X-Request-Id: posting-1\r\n", "amount=20");
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.is_complete);
  BOOST_TEST(answer.body == "amount=20");
  BOOST_TEST(answer.Field("Wagtailmount-Verdict") == "ran");
  BOOST_TEST(answer.Field("X-Request-Id") == "posting-1");
  BOOST_TEST(fixture.Owner(1).backend_server->RunCount("posting-1") == 1);
  BOOST_TEST(fixture.Owner(1).server->Counters().owner_admitted == 1U);
}

// Guards against a connection that is closed by the timeout of the time when it
// became idle, while its caller relies on a longer one.
BOOST_AUTO_TEST_CASE(ARaisedIdleTimeoutHoldsForConnectionsThatAreIdle) {
  using std::chrono::milliseconds;
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  fixture_options options;
  options.idle_timeout = milliseconds{400};
  traffic_fixture fixture{1, options};
  fixture.Publish();
  test_caller caller{fixture.Entry().caller_address};
  caller.Send(request);
  BOOST_TEST(caller.Receive().status == 200);
  fixture.SetIdleTimeout(milliseconds{1'200});
  fixture.Publish();
  std::this_thread::sleep_for(milliseconds{800});
  caller.Send(request);
  BOOST_TEST(caller.Receive().status == 200);
  BOOST_TEST(caller.IsClosed());
}

// Guards against a connection that is closed by the time limit of a header
// section, so that the answer to that can't be sent.
BOOST_AUTO_TEST_CASE(ACallerThatDoesNotEndItsHeaderInTimeIsAnswered) {
  fixture_options options;
  options.header_timeout = std::chrono::milliseconds{300};
  traffic_fixture fixture{1, options};
  fixture.Publish();
  test_caller caller{fixture.Entry().caller_address};
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\n");
  const auto answer = caller.Receive();
  BOOST_TEST(answer.status == 408);
  BOOST_TEST(answer.Field("Wagtailmount-Verdict") == "not-run");
  BOOST_TEST(caller.IsClosed());
}

// Callers that come back at once, each time on a new connection, leave the one
// before open. Kept connections must not take the descriptors that new ones
// need.
BOOST_AUTO_TEST_CASE(KeptConnectionsLeaveDescriptorsForNewOnes) {
  wagtailmount::testing::fixture_options options;
  options.maximum_descriptors = 40;
  traffic_fixture fixture{1, options};
  fixture.Publish();
  auto& node = fixture.Owner(1);
  std::deque<test_caller> callers;
  for (int count = 0; count < 60; ++count) {
    callers.emplace_back(node.caller_address);
    callers.back().Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    const auto answer = callers.back().Receive();
    BOOST_TEST(answer.status == 200);
    const bool is_kept = answer.Field("Connection") != "close";
    BOOST_TEST(is_kept == (count < 20));
    if (!is_kept) {
      callers.pop_back();
    }
  }
  BOOST_TEST(node.server->Counters().closed_crowded == 40U);
  BOOST_TEST(wagtailmount::testing::Eventually(
      [&] { return node.server->Counters().caller_connections == 20U; }));
  for (test_caller& kept : callers) {
    kept.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(kept.Receive().status == 200);
  }
}

BOOST_AUTO_TEST_CASE(ARequestReachesTheLocalBackendServer) {
  traffic_fixture fixture{1};
  fixture.Publish();
  const auto answer = Call(fixture.Owner(1).caller_address, "GET", "/balance");
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body == "hello");
  BOOST_TEST(!answer.Field("X-Request-Id").empty());
}

BOOST_AUTO_TEST_CASE(BodiesOfAnyLengthAndFramingArriveComplete) {
  traffic_fixture fixture{1};
  fixture.Publish();
  for (const auto& address :
       {fixture.Entry().caller_address, fixture.Owner(1).caller_address}) {
    for (const std::size_t size :
         {0UL, 1UL, 65'535UL, 65'536UL, 65'537UL, 1'000'000UL, 5'000'000UL}) {
      const std::string body(size, 'b');
      const auto with_length = Call(address, "POST", "/", "", body);
      BOOST_TEST(with_length.status == 200);
      BOOST_TEST((with_length.body == (body.empty() ? "hello" : body)));

      test_caller caller{address};
      caller.Send(
          "POST / HTTP/1.1\r\nHost: a\r\n"
          "Transfer-Encoding: chunked\r\n\r\n");
      for (std::size_t at = 0; at < size; at += 50'000) {
        const std::string chunk = body.substr(at, 50'000);
        char length[32];
        std::snprintf(length, sizeof(length), "%zx\r\n", chunk.size());
        caller.Send(length + chunk + "\r\n");
      }
      caller.Send("0\r\nX-Trailer: t\r\n\r\n");
      const auto chunked = caller.Receive();
      BOOST_TEST(chunked.status == 200);
      BOOST_TEST((chunked.body == (body.empty() ? "hello" : body)));
    }
    for (const char* behaviour : {"long", "long-chunked"}) {
      const auto answer = Call(address, "GET", "/",
                               "X-Fake: " + std::string(behaviour) + "\r\n");
      BOOST_TEST(answer.is_complete);
      BOOST_TEST(answer.body.size() == 1024U * 1024U);
    }
  }
}

// The backend server runs one request at a time, so one connection to it is
// enough.
BOOST_AUTO_TEST_CASE(PipelinedRequestsShareOneConnection) {
  fixture_options options;
  options.limits.slots = 1;
  traffic_fixture fixture{1, options};
  fixture.Publish();
  test_caller caller{fixture.Entry().caller_address};
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  caller.Send(request + request + request);
  for (int count = 0; count < 3; ++count) {
    BOOST_TEST(caller.Receive().status == 200);
  }
  caller.Send("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n" + request);
  const auto head = caller.Receive(true);
  BOOST_TEST(head.status == 200);
  BOOST_TEST(head.Field("Content-Length") == "5");
  BOOST_TEST(caller.Receive().body == "hello");
  BOOST_TEST(fixture.Owner(1).backend_server->PeakConnections() == 1);
}

BOOST_AUTO_TEST_CASE(ContinueIsSentWhenExpectedAndInterimAnswersAreSkipped) {
  traffic_fixture fixture{1};
  fixture.Publish();
  test_caller caller{fixture.Entry().caller_address};
  caller.Send(
      "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
      "Content-Length: 2\r\n\r\n");
  BOOST_TEST(caller.Receive(true).status == 100);
  caller.Send("ab");
  BOOST_TEST(caller.Receive().body == "ab");
  const auto answer = Call(fixture.Entry().caller_address, "GET", "/",
                           "X-Fake: early-answer\r\n");
  BOOST_TEST(answer.status == 200);
}

BOOST_AUTO_TEST_CASE(ACallersDeadlineOverridesALongerDeadlineOfTheRoute) {
  traffic_fixture fixture{1};
  fixture.Publish();
  const auto start = std::chrono::steady_clock::now();
  const auto answer = Call(fixture.Entry().caller_address, "GET", "/",
                           "X-Fake: hang\r\nWagtailmount-Deadline-Ms: 100\r\n");
  BOOST_TEST(answer.status == 504);
  const auto elapsed = std::chrono::steady_clock::now() - start;
  BOOST_TEST((elapsed < std::chrono::milliseconds{1'000}));
}

BOOST_AUTO_TEST_CASE(CountersAndDecisionsRecordEachRequest) {
  traffic_fixture fixture{1};
  fixture.Publish();
  Call(fixture.Entry().caller_address, "GET", "/", "X-Request-Id: good\r\n");
  Call(fixture.Entry().caller_address, "POST", "/",
       "X-Request-Id: bad\r\nX-Fake: truncate\r\n", "x");
  const auto counts = fixture.Entry().server->ServiceCounts();
  BOOST_REQUIRE(counts.size() == 1U);
  BOOST_TEST(counts[0].service == "ledger");
  BOOST_TEST(counts[0].requests == 2U);
  BOOST_TEST(counts[0].failed == 1U);
  const auto decisions = fixture.Entry().server->RecentDecisions();
  BOOST_REQUIRE(decisions.size() == 2U);
  BOOST_TEST(decisions[0].request_id == "good");
  BOOST_TEST(decisions[0].upstream == "vm-1");
  BOOST_TEST(decisions[0].route == "/");
  BOOST_TEST((decisions[1].proved == wagtailmount::verdict::kMayHaveRun));
  BOOST_TEST(
      (decisions[1].reason == wagtailmount::refusal_cause::kTruncatedAnswer));
  for (int call = 0; call < 300; ++call) {
    Call(fixture.Entry().caller_address, "GET", "/");
  }
  const auto later = fixture.Entry().server->ServiceCounts();
  BOOST_TEST(later[0].requests == 302U);
  BOOST_TEST(later[0].latency_median.count() > 0);
  BOOST_TEST((later[0].latency_median <= later[0].latency_p99));
  BOOST_TEST(fixture.Entry().server->RecentDecisions().size() == 256U);
}

// A backend server says in its answers for how long it keeps an idle connection
// open; its close could cross the next request.
BOOST_AUTO_TEST_CASE(AConnectionIsNotUsedAfterItsStatedIdleTimeout) {
  traffic_fixture fixture{1};
  fixture.Publish();
  auto& backend = *fixture.Owner(1).backend_server;
  const endpoint& node = fixture.Owner(1).caller_address;
  backend.SetAnswerFields("Keep-Alive: timeout=1, max=100\r\n");
  BOOST_TEST(Call(node, "GET", "/").status == 200);
  BOOST_TEST(Call(node, "GET", "/").status == 200);
  BOOST_TEST(backend.Connections() == 1);
  std::this_thread::sleep_for(std::chrono::milliseconds{950});
  BOOST_TEST(Call(node, "GET", "/").status == 200);
  BOOST_TEST(backend.Connections() == 2);
  // Without the statement, or with one that can't be read, idle connections are
  // used for longer.
  for (const char* const fields : {"", "Keep-Alive: timeout=soon\r\n"}) {
    backend.SetAnswerFields(fields);
    Call(node, "GET", "/");
    const int before = backend.Connections();
    std::this_thread::sleep_for(std::chrono::milliseconds{950});
    BOOST_TEST(Call(node, "GET", "/").status == 200);
    BOOST_TEST(backend.Connections() == before);
  }
}

BOOST_AUTO_TEST_SUITE_END()
