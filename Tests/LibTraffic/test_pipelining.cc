// Callers that send further requests before the first is answered.

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "Tests/LibTraffic/pipelining_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::steady_clock;

BOOST_AUTO_TEST_SUITE(pipelining_suite)

BOOST_AUTO_TEST_CASE(AnswersKeepTheOrderOfRequestsThatEndInReverse) {
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  const auto begin = steady_clock::now();
  caller.Send(Request("0", Fake("slow")) + Request("1", Fake("slow")) +
              Request("2") + Request("3"));
  fixture.CheckThatAnswersComeInOrder(caller, 4);
  // One after the other, the slow ones would take 600 ms.
  BOOST_TEST((steady_clock::now() - begin < milliseconds{550}));
  BOOST_TEST(fixture.Backend().PeakRunning() >= 2);
  BOOST_TEST(fixture.Counters().pipelined_requests == 3U);
}

BOOST_AUTO_TEST_CASE(RequestsBehindASlowOneRunWhileItIsServed) {
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  caller.Send(Request("0", Fake("wait")));
  BOOST_REQUIRE(Eventually([&] { return fixture.Backend().Running() == 1; }));
  caller.Send(Request("1"));
  BOOST_TEST(Eventually([&] { return fixture.Backend().RunCount("1") == 1; }));
  caller.Send(Request("2"));
  BOOST_TEST(Eventually([&] { return fixture.Backend().RunCount("2") == 1; }));
  BOOST_TEST(Eventually(
      [&] { return fixture.Counters().pipelined_waiting_bytes > 0; }));
  fixture.Backend().ReleaseWaitingRequests();
  const auto begin = steady_clock::now();
  fixture.CheckThatAnswersComeInOrder(caller, 3);
  BOOST_TEST((steady_clock::now() - begin <= kAtOnce));
  BOOST_TEST(fixture.Counters().pipelined_waiting_bytes == 0U);
  caller.Send(Request("0"));
  fixture.CheckThatAnswersComeInOrder(caller, 1);
}

BOOST_AUTO_TEST_CASE(AnswersBehindOneThatRunsIntoItsDeadlineGoOutAtOnce) {
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  const auto begin = steady_clock::now();
  caller.Send(Request("0", Fake("hang") + "Wagtailmount-Deadline-Ms: 400\r\n") +
              Request("1") + Request("2", Fake("not-run")) + Request("3"));
  const auto late = caller.Receive();
  BOOST_TEST(late.status == 504);
  BOOST_TEST(late.Field("Connection") != "close");
  for (const int status : {200, 503, 200}) {
    BOOST_TEST(caller.Receive().status == status);
  }
  BOOST_TEST((steady_clock::now() - begin <= milliseconds{400} + kAtOnce));
}

BOOST_AUTO_TEST_CASE(ManyRequestsInOneSegmentAreServedWithinTheBound) {
  constexpr int kRequests = 60;
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  std::string all;
  for (int number = 0; number < kRequests; ++number) {
    all += Request(std::to_string(number), Fake("slow"));
  }
  caller.Send(all);
  fixture.CheckThatAnswersComeInOrder(caller, kRequests);
  BOOST_TEST(fixture.Backend().PeakRunning() == 16);
  BOOST_TEST(fixture.Backend().TotalRuns() == kRequests);
  BOOST_TEST(Eventually([&] { return fixture.Entry().server->IsIdle(); }));
}

BOOST_AUTO_TEST_CASE(APostingRunsAloneBetweenLookups) {
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  caller.Send(Request("0", Fake("wait")) + Request("1") +
              Request("2", "Content-Length: 3\r\n" + Fake("slow"), "POST") +
              "abc" + Request("3") + Request("4"));
  BOOST_TEST(Eventually([&] { return fixture.Backend().RunCount("1") == 1; }));
  std::this_thread::sleep_for(milliseconds{50});
  BOOST_TEST(fixture.Backend().RunCount("2") == 0);
  fixture.Backend().ReleaseWaitingRequests();
  BOOST_TEST(Eventually([&] { return fixture.Backend().RunCount("2") == 1; }));
  BOOST_TEST(fixture.Backend().RunCount("3") == 0);
  fixture.CheckThatAnswersComeInOrder(caller, 5);
  for (const char* const id : {"0", "1", "2", "3", "4"}) {
    BOOST_TEST(fixture.Backend().RunCount(id) == 1);
  }
}

BOOST_AUTO_TEST_CASE(NothingIsReadBehindABodyUntilItIsIn) {
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  const std::string target = "POST /repeatable HTTP/1.1\r\nHost: a\r\n";
  caller.Send(Request("0", Fake("wait")) + target +
              "X-Request-Id: 1\r\nContent-Length: 4\r\n\r\nab");
  BOOST_TEST(Eventually([&] { return fixture.Backend().RunCount("0") == 1; }));
  fixture.Backend().ReleaseWaitingRequests();
  std::this_thread::sleep_for(milliseconds{50});
  caller.Send("cd" + Request("2"));
  fixture.CheckThatAnswersComeInOrder(caller, 3);
}

BOOST_AUTO_TEST_CASE(AMalformedRequestBehindGoodOnesEndsTheConnection) {
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  caller.Send(Request("0", Fake("slow")) + Request("1") +
              "no request at all\r\n\r\n" + Request("never"));
  fixture.CheckThatAnswersComeInOrder(caller, 2);
  const auto rejected = caller.Receive();
  BOOST_TEST(rejected.status == 400);
  BOOST_TEST(rejected.Field("Connection") == "close");
  BOOST_TEST(caller.IsClosed());
  BOOST_TEST(fixture.Backend().RunCount("never") == 0);
}

BOOST_AUTO_TEST_CASE(ARequestThatIsSentInPiecesIsServedOnceItIsWhole) {
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  caller.Send(Request("0", Fake("wait")));
  BOOST_REQUIRE(Eventually([&] { return fixture.Backend().Running() == 1; }));
  const std::string whole = Request("1");
  for (const char letter : whole) {
    caller.Send(std::string(1, letter));
    std::this_thread::sleep_for(milliseconds{1});
  }
  BOOST_TEST(Eventually([&] { return fixture.Backend().RunCount("1") == 1; }));
  const std::string half = Request("2");
  caller.Send(half.substr(0, half.size() / 2));
  fixture.Backend().ReleaseWaitingRequests();
  const auto begin = steady_clock::now();
  fixture.CheckThatAnswersComeInOrder(caller, 2);
  BOOST_TEST((steady_clock::now() - begin <= kAtOnce));
  caller.Send(half.substr(half.size() / 2));
  BOOST_TEST(caller.Receive().Field("X-Request-Id") == "2");
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesCancelsAllThatWasRead) {
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  for (int number = 0; number < 5; ++number) {
    caller.Send(Request(std::to_string(number), Fake("hang")));
  }
  BOOST_REQUIRE(Eventually([&] { return fixture.Backend().Running() == 5; }));
  caller.Close();
  fixture.CheckThatAllIsCancelled();
  BOOST_TEST(fixture.Counters().pipelined_cancelled == 4U);
}

// Requests that their caller gave up say nothing about upstreams.
BOOST_AUTO_TEST_CASE(CallersThatLeaveDoNotMakeAnUpstreamLookUnhealthy) {
  constexpr int kCallers = 10;
  constexpr int kRequests = 60;
  traffic_fixture fixture{2};
  fixture.Publish();
  const auto running = [&] {
    return fixture.Owner(1).backend_server->Running() +
           fixture.Owner(2).backend_server->Running();
  };
  for (int count = 0; count < kCallers; ++count) {
    test_caller caller{fixture.Entry().caller_address};
    for (int number = 0; number < 4; ++number) {
      caller.Send(Request(std::to_string(number), Fake("hang")));
    }
    BOOST_REQUIRE(Eventually([&] { return running() == 4; }));
    caller.Close();
    BOOST_REQUIRE(Eventually([&] { return running() == 0; }));
  }
  const int before[] = {fixture.Owner(1).backend_server->TotalRuns(),
                        fixture.Owner(2).backend_server->TotalRuns()};
  for (int count = 0; count < kRequests; ++count) {
    BOOST_TEST(Call(fixture.Entry().caller_address, "GET", "/").status == 200);
  }
  for (const int number : {1, 2}) {
    BOOST_TEST(fixture.Owner(number).backend_server->TotalRuns() >
               before[number - 1]);
  }
}

// The close lies behind bytes that may not be read yet.
BOOST_AUTO_TEST_CASE(ACallerThatLeavesBehindUnreadRequestsCancelsAll) {
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  for (int number = 0; number < 80; ++number) {
    caller.Send(Request(std::to_string(number), Fake("hang")));
  }
  BOOST_REQUIRE(Eventually([&] { return fixture.Backend().Running() == 16; }));
  caller.Close();
  fixture.CheckThatAllIsCancelled();
  BOOST_TEST(fixture.Backend().TotalRuns() == 16);
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesBehindAPostingCancelsIt) {
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  caller.Send(Request("0", Fake("hang") + "Content-Length: 0\r\n", "POST") +
              Request("1"));
  BOOST_REQUIRE(Eventually([&] { return fixture.Backend().Running() == 1; }));
  std::this_thread::sleep_for(milliseconds{50});
  caller.Close();
  fixture.CheckThatAllIsCancelled();
  BOOST_TEST(fixture.Backend().RunCount("1") == 0);
}

BOOST_AUTO_TEST_CASE(NothingIsReadBehindARequestThatAsksForTheClose) {
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  caller.Send(Request("0", Fake("slow")) +
              Request("1", "Connection: close\r\n") + Request("never"));
  const auto first = caller.Receive();
  BOOST_TEST(first.Field("Connection") != "close");
  const auto last = caller.Receive();
  BOOST_TEST(last.status == 200);
  BOOST_TEST(last.Field("Connection") == "close");
  BOOST_TEST(caller.IsClosed());
  BOOST_TEST(fixture.Backend().RunCount("never") == 0);
}

BOOST_AUTO_TEST_CASE(AStoppingNodeAnswersWhatItReadAndClosesAfterTheLast) {
  for (const bool is_draining : {false, true}) {
    pipelining_fixture fixture;
    test_caller caller{fixture.Entry().caller_address};
    for (int number = 0; number < 4; ++number) {
      caller.Send(Request(std::to_string(number), Fake("wait")));
    }
    BOOST_REQUIRE(Eventually([&] { return fixture.Backend().Running() == 4; }));
    auto& server = *fixture.Entry().server;
    if (is_draining) {
      server.BeginDrain();
      server.CloseIdleConnections();
    } else {
      server.BeginStop({.answer_by = fixture.Now() + std::chrono::seconds{5}});
    }
    caller.Send(Request("never"));
    std::this_thread::sleep_for(milliseconds{50});
    BOOST_TEST(!server.IsIdle());
    fixture.Backend().ReleaseWaitingRequests();
    for (int number = 0; number < 4; ++number) {
      const auto answer = caller.Receive();
      BOOST_TEST(answer.status == 200);
      BOOST_TEST(answer.is_complete);
      BOOST_TEST(answer.Field("X-Request-Id") == std::to_string(number));
      BOOST_TEST((answer.Field("Connection") == "close") == (number == 3));
    }
    BOOST_TEST(caller.IsClosed());
    BOOST_TEST(fixture.Backend().RunCount("never") == 0);
    BOOST_TEST(Eventually([&] { return server.IsIdle(); }));
    BOOST_TEST(fixture.Counters().pipelined_cancelled == 0U);
  }
}

BOOST_AUTO_TEST_CASE(AnswersOfAnyKindComeInOrder) {
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  caller.Send(Request("0", Fake("slow")) + Request("1", Fake("long")) +
              Request("2", Fake("long-chunked")) + Request("3", "", "HEAD") +
              Request("4"));
  fixture.CheckThatAnswersComeInOrder(caller, 3);
  BOOST_TEST(caller.Receive(true).Field("X-Request-Id") == "3");
  BOOST_TEST(caller.Receive().Field("X-Request-Id") == "4");
}

BOOST_AUTO_TEST_SUITE_END()
