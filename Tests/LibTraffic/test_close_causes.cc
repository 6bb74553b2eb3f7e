// What ends the connection of a caller, or cuts a request on it, is counted by
// its cause.

#include <boost/test/unit_test.hpp>
#include <string>

#include "Tests/LibTraffic/traffic_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using wagtailmount::close_cause;
using wagtailmount::close_counts;
using wagtailmount::cut_cause;
using wagtailmount::cut_counts;

namespace {

std::string Get(const std::string& behaviour, const std::string& fields = {}) {
  return "GET / HTTP/1.1\r\nHost: a\r\nX-Fake: " + behaviour + "\r\n" + fields +
         "\r\n";
}

struct cause_fixture : traffic_fixture {
  cause_fixture() : traffic_fixture(1, Options()) { Publish(); }

  static fixture_options Options() {
    fixture_options options;
    options.attempts = 1;
    options.deadline = milliseconds{600};
    options.idle_timeout = milliseconds{300};
    return options;
  }

  bool IsCountedOnce(cut_cause cause) {
    cut_counts expected{};
    expected.at(static_cast<std::size_t>(cause)) = 1;
    return Eventually(
        [&] { return Entry().server->Counters().requests_cut == expected; });
  }

  bool IsCountedOnce(close_cause cause) {
    close_counts expected{};
    expected.at(static_cast<std::size_t>(cause)) = 1;
    return Eventually(
        [&] { return Entry().server->Counters().closed == expected; });
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(close_causes_suite, cause_fixture)

BOOST_AUTO_TEST_CASE(AnAnswerThatBreaksOff) {
  test_caller caller{Entry().caller_address};
  caller.Send(Get("truncate-long"));
  BOOST_TEST(!caller.Receive().is_complete);
  BOOST_TEST(IsCountedOnce(cut_cause::kAnswerLost));
  BOOST_TEST(IsCountedOnce(close_cause::kFailed));
}

BOOST_AUTO_TEST_CASE(AnAnswerThatDoesNotEndInTime) {
  test_caller caller{Entry().caller_address};
  caller.Send(Get("endless-chunks"));
  BOOST_TEST(caller.Discard(milliseconds{2'000}).has_value());
  BOOST_TEST(IsCountedOnce(cut_cause::kAnswerLate));
  BOOST_TEST(IsCountedOnce(close_cause::kFailed));
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesWhileItsAnswerIsWritten) {
  test_caller caller{Entry().caller_address};
  caller.Send(Get("endless-chunks"));
  BOOST_REQUIRE(Eventually(
      [&] { return Entry().server->Counters().answers_being_written == 1; }));
  caller.Close();
  BOOST_TEST(IsCountedOnce(cut_cause::kCallerLeft));
}

BOOST_AUTO_TEST_CASE(ARequestThatDoesNotArriveWhole) {
  {
    test_caller caller{Entry().caller_address};
    caller.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
  }
  BOOST_TEST(IsCountedOnce(cut_cause::kRequestLost));
}

BOOST_AUTO_TEST_CASE(ARequestBehindAnAnswerThatBreaksOff) {
  test_caller caller{Entry().caller_address};
  caller.Send(Get("truncate-long") + Get("hang"));
  BOOST_TEST(!caller.Receive().is_complete);
  BOOST_TEST(Eventually([&] {
    const cut_counts counts = Entry().server->Counters().requests_cut;
    return counts.at(static_cast<std::size_t>(cut_cause::kBehind)) == 1 &&
           counts.at(static_cast<std::size_t>(cut_cause::kAnswerLost)) == 1;
  }));
}

BOOST_AUTO_TEST_CASE(AnIdleConnection) {
  test_caller caller{Entry().caller_address};
  caller.Send(Get("none"));
  BOOST_TEST(caller.Receive().status == 200);
  BOOST_TEST(caller.IsClosed());
  BOOST_TEST(IsCountedOnce(close_cause::kIdle));
}

BOOST_AUTO_TEST_CASE(AnIdleConnectionAtAStop) {
  test_caller caller{Entry().caller_address};
  caller.Send(Get("none"));
  BOOST_TEST(caller.Receive().status == 200);
  Entry().server->BeginDrain();
  Entry().server->CloseIdleConnections();
  BOOST_TEST(caller.IsClosed());
  BOOST_TEST(IsCountedOnce(close_cause::kStop));
}

BOOST_AUTO_TEST_CASE(AnAnswerThatClosesTheConnectionUnderAnotherRequest) {
  test_caller caller{Entry().caller_address};
  caller.Send(Get("none", "Connection: close\r\n") +
              Get("none", "X-Request-Id: unread\r\n"));
  BOOST_TEST(caller.Receive().status == 200);
  caller.Close();
  BOOST_TEST(IsCountedOnce(close_cause::kAnswered));
  const close_counts unread = Entry().server->Counters().closed_unread;
  BOOST_TEST(unread.at(static_cast<std::size_t>(close_cause::kAnswered)) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
