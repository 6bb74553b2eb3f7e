// Requests that are sent behind others whose answers are too long to be held.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "Tests/LibTraffic/pipelining_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::steady_clock;

BOOST_AUTO_TEST_SUITE(pipelined_long_answers_suite)

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
