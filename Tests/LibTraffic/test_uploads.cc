// Large bodies between two nodes: announced, and sent after a go-ahead.

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "Tests/LibTraffic/traffic_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

// Of kiosks whose links are the slowest that are used.
constexpr double kLinkMegabits = 10.0;
constexpr std::size_t kMeanBytes = 60'000;
constexpr std::size_t kLongestBytes = 360'000;

fixture_options Options(double link = kLinkMegabits) {
  fixture_options options;
  options.link_megabits_per_second = link;
  return options;
}

std::string BodyOf(std::size_t bytes) {
  std::string body;
  while (body.size() < bytes) {
    body += std::to_string(body.size()) + ' ';
  }
  body.resize(bytes);
  return body;
}

std::string AnnouncedHead(std::size_t bytes, milliseconds left) {
  return "POST / HTTP/1.1\r\nHost: ledger\r\nX-Request-Id: announced\r\n"
         "Expect: 100-continue\r\nWagtailmount-Hop: vm-1 ledger " +
         std::to_string(left.count()) +
         " 0 1\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

struct upload_of_a_caller_who_leaves {
  bool calls_owner;
  std::size_t announced_bytes;
  std::size_t sent_bytes;
};

// Its caller leaves while the backend server runs another request, its only
// one at a time.
void CheckThatItIsNotWaitedFor(const upload_of_a_caller_who_leaves& upload) {
  BOOST_TEST_CONTEXT("owner " << upload.calls_owner << ", bytes "
                              << upload.sent_bytes) {
    traffic_fixture fixture{1, SingleSlotOptions()};
    fixture.Publish();
    auto& owner = fixture.Owner(1);
    auto& called = upload.calls_owner ? owner : fixture.Entry();
    test_caller running{called.caller_address};
    running.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Fake: wait\r\n\r\n");
    BOOST_REQUIRE(
        Eventually([&] { return owner.backend_server->TotalRuns() == 1; }));
    test_caller leaving{called.caller_address};
    leaving.Send(
        "POST / HTTP/1.1\r\nHost: a\r\nX-Request-Id: leaving\r\n"
        "Content-Length: " +
        std::to_string(upload.announced_bytes) + "\r\n\r\n" +
        BodyOf(upload.sent_bytes));
    BOOST_REQUIRE(
        Eventually([&] { return owner.server->Counters().in_flight == 2; }));
    leaving.Close();
    BOOST_TEST(
        Eventually([&] { return owner.server->Counters().in_flight == 1; }));
    owner.backend_server->ReleaseWaitingRequests();
    BOOST_TEST(running.Receive().status == 200);
    BOOST_TEST(owner.backend_server->RunCount("leaving") == 0);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(uploads_suite)

BOOST_AUTO_TEST_CASE(LargeBodiesCrossWholeWithAndWithoutAKnownLink) {
  for (const double link : {0.0, kLinkMegabits}) {
    traffic_fixture fixture{2, Options(link)};
    fixture.Publish();
    for (const std::size_t bytes : {kMeanBytes, kLongestBytes}) {
      const std::string body = BodyOf(bytes);
      const auto answer =
          Call(fixture.Entry().caller_address, "POST", "/", "", body);
      BOOST_TEST(answer.status == 200);
      BOOST_TEST((answer.body == body));
    }
  }
}

BOOST_AUTO_TEST_CASE(AnAnnouncedBodyGetsItsRateWithTheGoAhead) {
  traffic_fixture fixture{1, Options()};
  fixture.Publish();
  test_caller sender{fixture.Owner(1).hop_address};
  const std::string body = BodyOf(kMeanBytes);
  sender.Send(AnnouncedHead(body.size(), milliseconds{2'000}));
  const auto go_ahead = sender.Receive(true);
  BOOST_TEST(go_ahead.status == 100);
  BOOST_TEST(go_ahead.Field("Wagtailmount-Body-Rate") == "750000");
  sender.Send(body);
  const auto answer = sender.Receive();
  BOOST_TEST(answer.status == 200);
  BOOST_TEST((answer.body == body));
}

BOOST_AUTO_TEST_CASE(ABodyThatCannotArriveInTimeIsRefusedBeforeItIsSent) {
  traffic_fixture fixture{1, Options()};
  fixture.Publish();
  test_caller sender{fixture.Owner(1).hop_address};
  sender.Send(AnnouncedHead(kLongestBytes, milliseconds{200}));
  const auto refused = sender.Receive();
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.Field("Wagtailmount-Verdict") == "not-run");
  BOOST_TEST(refused.Field("Wagtailmount-Reason") == "overloaded");
  BOOST_TEST(sender.IsClosed());
  BOOST_TEST(fixture.Owner(1).backend_server->TotalRuns() == 0);
}

// The link of vm-1 is taken for 1.9 s by a sender that stalls.
BOOST_AUTO_TEST_CASE(ARefusedBodyIsSentToAnotherOwnerWhole) {
  fixture_options options = Options();
  options.deadline = milliseconds{500};
  traffic_fixture fixture{2, options};
  fixture.Publish();
  test_caller stalled{fixture.Owner(1).hop_address};
  stalled.Send(AnnouncedHead(4 * kLongestBytes, milliseconds{2'500}));
  BOOST_REQUIRE(stalled.Receive(true).status == 100);
  for (int count = 0; count < 4; ++count) {
    for (const std::size_t bytes : {kMeanBytes, 2 * kMeanBytes}) {
      const std::string body = BodyOf(bytes);
      const auto answer =
          Call(fixture.Entry().caller_address, "POST", "/", "", body);
      BOOST_TEST(answer.status == 200);
      BOOST_TEST((answer.body == body));
    }
  }
  BOOST_TEST(fixture.Owner(1).backend_server->TotalRuns() == 0);
  BOOST_TEST(fixture.Owner(1).server->Counters().owner_refused > 0U);
}

BOOST_AUTO_TEST_CASE(ABodyWhoseSenderLeftWhileItWaitedIsNotRun) {
  traffic_fixture fixture{1, Options()};
  fixture.Publish();
  test_caller first{fixture.Owner(1).hop_address};
  first.Send(AnnouncedHead(kLongestBytes, milliseconds{2'000}));
  BOOST_REQUIRE(first.Receive(true).status == 100);
  test_caller second{fixture.Owner(1).hop_address};
  second.Send(AnnouncedHead(kMeanBytes, milliseconds{2'000}));
  BOOST_TEST(Eventually(
      [&] { return fixture.Owner(1).server->Counters().in_flight == 2; }));
  second.Close();
  BOOST_TEST(Eventually(
      [&] { return fixture.Owner(1).server->Counters().in_flight == 1; }));
  BOOST_TEST(fixture.Owner(1).backend_server->TotalRuns() == 0);
}

// Guards against long bodies whose callers aren't watched once they have sent
// them, and against a close between nodes that queues behind the body.
BOOST_AUTO_TEST_CASE(ALongBodyWhoseCallerLeftWhileItWaitedIsNotRun) {
  // A caller's own close is not seen while its system holds back bytes that
  // come before it.
  CheckThatItIsNotWaitedFor({true, 150'000, 150'000});
  CheckThatItIsNotWaitedFor({false, 150'000, 150'000});
  CheckThatItIsNotWaitedFor({false, 300'000, 300'000});
  CheckThatItIsNotWaitedFor({false, 800'000, 800'000});
}

// The same while the caller still owes a part of the body, which the entry
// finds out by reading.
BOOST_AUTO_TEST_CASE(ALongBodyWhoseCallerLeftWithinItIsNotWaitedFor) {
  CheckThatItIsNotWaitedFor({false, 800'000, 300'000});
}

BOOST_AUTO_TEST_SUITE_END()
