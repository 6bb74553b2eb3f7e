// Callers that send further requests before the first is answered.

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "Tests/LibTraffic/traffic_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

// After a caller's close, backend servers work on for no longer than this.
constexpr milliseconds kCancelledWithin{500};
// What is ready goes out at once; the rest is for a busy machine.
constexpr milliseconds kAtOnce{150};

std::string Request(const std::string& id, const std::string& fields = {},
                    const std::string& method = "GET") {
  return method + " / HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\n" +
         fields + "\r\n";
}

std::string Fake(const std::string& behaviour) {
  return "X-Fake: " + behaviour + "\r\n";
}

struct pipelining_fixture : traffic_fixture {
  explicit pipelining_fixture(fixture_options options = {})
      : traffic_fixture(1, options) {
    Publish();
  }

  fake_backend_server& Backend() { return *Owner(1).backend_server; }
  wagtailmount::traffic_counters Counters() {
    return Entry().server->Counters();
  }

  void CheckThatAnswersComeInOrder(test_caller& caller, int count) {
    for (int number = 0; number < count; ++number) {
      const auto answer = caller.Receive();
      BOOST_TEST(answer.status == 200);
      BOOST_TEST(answer.is_complete);
      BOOST_TEST(answer.Field("X-Request-Id") == std::to_string(number));
    }
  }

  void CheckThatAllIsCancelled() {
    const auto begin = steady_clock::now();
    BOOST_TEST(Eventually([&] { return Backend().Running() == 0; }));
    BOOST_TEST((steady_clock::now() - begin <= kCancelledWithin));
    BOOST_TEST(Eventually([&] { return Entry().server->IsIdle(); }));
    BOOST_TEST(Counters().pipelined_waiting_bytes == 0U);
  }
};

}  // namespace

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

BOOST_AUTO_TEST_CASE(AnAnswerThatIsCutCancelsWhatRunsBehindIt) {
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  caller.Send(Request("0", Fake("wait")) + Request("1", Fake("truncate-long")) +
              Request("2") + Request("3", Fake("hang")));
  BOOST_REQUIRE(Eventually([&] {
    return fixture.Backend().RunCount("2") == 1 &&
           fixture.Backend().RunCount("3") == 1;
  }));
  fixture.Backend().ReleaseWaitingRequests();
  fixture.CheckThatAnswersComeInOrder(caller, 1);
  BOOST_TEST(!caller.Receive().is_complete);
  BOOST_TEST(caller.IsClosed());
  fixture.CheckThatAllIsCancelled();
  BOOST_TEST(fixture.Counters().pipelined_cancelled == 2U);
}

// Guards against requests that run and get no answer, since the one before them
// turns out long and breaks off.
BOOST_AUTO_TEST_CASE(RequestsBehindALongAnswerThatBreaksOffAreAnswered) {
  fixture_options options;
  options.attempts = 1;
  pipelining_fixture fixture{options};
  test_caller caller{fixture.Entry().caller_address};
  caller.Send(Request("0", Fake("truncate-held")) + Request("1") +
              Request("2", Fake("truncate-held")) + Request("3"));
  for (const int status : {502, 200, 502, 200}) {
    const auto answer = caller.Receive();
    BOOST_TEST(answer.is_complete);
    BOOST_TEST(answer.status == status);
    BOOST_TEST(answer.Field("Wagtailmount-Verdict") ==
               (status == 200 ? "ran" : "may-have-run"));
  }
  BOOST_TEST(fixture.Counters().pipelined_cancelled == 0U);
  BOOST_TEST(fixture.Counters().pipelined_waiting_bytes == 0U);
}

BOOST_AUTO_TEST_CASE(NothingIsReadBehindAnAnswerThatIsKnownToBeLong) {
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  caller.Send(Request("0", Fake("long-wait")));
  BOOST_REQUIRE(Eventually([&] {
    return fixture.Entry().server->Counters().answers_being_written == 1;
  }));
  caller.Send(Request("1"));
  std::this_thread::sleep_for(milliseconds{100});
  BOOST_TEST(fixture.Backend().RunCount("1") == 0);
  fixture.Backend().ReleaseWaitingRequests();
  fixture.CheckThatAnswersComeInOrder(caller, 2);
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

// An answer too long to be held waits with its backend server's connection,
// which is given back in time.
BOOST_AUTO_TEST_CASE(ALongAnswerThatWaitsTooLongIsRefused) {
  fixture_options options;
  options.deadline = milliseconds{1'500};
  pipelining_fixture fixture{options};
  test_caller caller{fixture.Entry().caller_address};
  caller.Send(Request("0", Fake("hang")) +
              Request("1", Fake("long") + "Wagtailmount-Deadline-Ms: 300\r\n") +
              Request("2"));
  // The beginning that is held of the long one, and then only refusals.
  const auto held = [&] { return fixture.Counters().pipelined_waiting_bytes; };
  BOOST_TEST(Eventually([&] { return held() > 64U * 1024; }));
  std::this_thread::sleep_for(milliseconds{300 + 250} + kAtOnce);
  BOOST_TEST(held() < 4U * 1024);
  BOOST_TEST(caller.Receive().status == 504);
  const auto late = caller.Receive();
  BOOST_TEST(late.status == 504);
  BOOST_TEST(late.Field("Wagtailmount-Verdict") == "may-have-run");
  BOOST_TEST(caller.Receive().status == 200);
}

// Of 60 answers of 1 MiB, the node holds what the bounds allow.
BOOST_AUTO_TEST_CASE(ACallerThatReadsNothingIsCutAndHoldsLittle) {
  constexpr std::uint64_t kMaximumHeldBytes = (256 + 16 * 65) * 1024;
  constexpr std::chrono::seconds kCutWithin{9};
  pipelining_fixture fixture;
  test_caller caller{fixture.Entry().caller_address};
  for (int number = 0; number < 60; ++number) {
    caller.Send(Request(std::to_string(number), Fake("long")));
  }
  BOOST_REQUIRE(Eventually([&] { return fixture.Backend().TotalRuns() >= 5; }));
  const auto begin = steady_clock::now();
  std::uint64_t held = 0;
  while (!fixture.Entry().server->IsIdle() &&
         steady_clock::now() - begin < kCutWithin) {
    held = std::max(held, fixture.Counters().pipelined_waiting_bytes);
    std::this_thread::sleep_for(milliseconds{5});
  }
  BOOST_TEST(fixture.Entry().server->IsIdle());
  BOOST_TEST(held > 0U);
  BOOST_TEST(held <= kMaximumHeldBytes);
  BOOST_TEST(fixture.Counters().pipelined_waiting_bytes == 0U);
  BOOST_TEST(fixture.Backend().TotalRuns() < 60);
}

BOOST_AUTO_TEST_SUITE_END()
