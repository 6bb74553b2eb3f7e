// Requests between nodes that spent a part of their time on the way.

#include <boost/test/unit_test.hpp>
#include <string>

#include "LibTraffic/peer_clock.h"
#include "Tests/LibTraffic/raw_http.h"
#include "Tests/LibTraffic/scripted_owner.h"
#include "Tests/LibTraffic/traffic_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using wagtailmount::detail::StatedTime;

namespace {

struct hop_age_fixture : traffic_fixture {
  hop_age_fixture() : traffic_fixture(1) { Publish(); }

  // Sends a request as another node does that still waits for 3 s by its own
  // count, with its deadline on the owner's clock.
  received_answer SendToOwner(const std::string& id,
                              const std::string& owner_deadline) {
    return Call(Owner(1).hop_address, "POST", "/",
                "X-Request-Id: " + id +
                    "\r\nWagtailmount-Hop: vm-1 ledger 3000 0 1 2000\r\n"
                    "Wagtailmount-Owner-Deadline: " +
                    owner_deadline + "\r\n",
                "amount=20");
  }

  std::string OwnerTimeIn(milliseconds delay) {
    return std::to_string((StatedTime(Now()) + delay).count());
  }
};

// The answer of an owner that states its clock and ends the connection.
std::string AnswerAndClose(const std::string& head) {
  const auto now = StatedTime(std::chrono::steady_clock::now()).count();
  return "HTTP/1.1 200 OK\r\nWagtailmount-Verdict: ran\r\nX-Request-Id: " +
         HeaderValue(head, "X-Request-Id") +
         "\r\nWagtailmount-Clock: " + std::to_string(now) +
         "\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok";
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(hop_age_suite, hop_age_fixture)

BOOST_AUTO_TEST_CASE(ARequestThatArrivesInTimeRunsWithTheTimeThatIsLeft) {
  const auto answer = SendToOwner("in-time", OwnerTimeIn(milliseconds{1'000}));
  BOOST_TEST(answer.status == 200);
  const std::string head = Owner(1).backend_server->LastRequestHead();
  const auto at = head.find("X-Deadline-Ms: ");
  BOOST_REQUIRE(at != std::string::npos);
  const int left = std::stoi(head.substr(at + 15));
  BOOST_TEST(left <= 1'000);
  BOOST_TEST(left > 500);
  BOOST_TEST(head.find("Wagtailmount-Owner-Deadline") == std::string::npos);
}

// A full link, or a process that was slow to read it, held the request until
// after its caller had given up.
BOOST_AUTO_TEST_CASE(ARequestThatArrivesAfterItsDeadlineIsNotRun) {
  const auto answer = SendToOwner("late", OwnerTimeIn(milliseconds{-1}));
  BOOST_TEST(answer.Field("Wagtailmount-Verdict") == "not-run");
  BOOST_TEST(answer.Field("Wagtailmount-Reason") == "too-late");
  BOOST_TEST(Owner(1).backend_server->RunCount("late") == 0);
}

// After a restart of all nodes, requests of others came in before the
// configuration, and ran without the limits of a cold backend server.
BOOST_AUTO_TEST_CASE(AnOwnerWithoutAConfigurationStartsNothing) {
  RestartOwner(1);
  const auto refused = SendToOwner("early", OwnerTimeIn(milliseconds{1'000}));
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.Field("Wagtailmount-Verdict") == "not-run");
  BOOST_TEST(refused.Field("Wagtailmount-Reason") == "no-configuration");
  BOOST_TEST(Owner(1).backend_server->RunCount("early") == 0);
  Publish();
  BOOST_TEST(SendToOwner("later", OwnerTimeIn(milliseconds{1'000})).status ==
             200);
}

BOOST_AUTO_TEST_CASE(ADeadlineThatIsNoNumberEndsTheConnection) {
  BOOST_TEST(SendToOwner("malformed", "soon").status == 0);
  BOOST_TEST(Owner(1).backend_server->RunCount("malformed") == 0);
}

BOOST_AUTO_TEST_CASE(AnOwnerStatesItsTimeInEachAnswer) {
  for (const milliseconds delay : {milliseconds{-1}, milliseconds{1'000}}) {
    const auto before = StatedTime(Now()).count();
    const auto answer = SendToOwner("timed", OwnerTimeIn(delay));
    const auto stated = std::stoll(answer.Field("Wagtailmount-Clock"));
    BOOST_TEST(stated >= before);
    BOOST_TEST(stated <= StatedTime(Now()).count());
  }
}

// Each connection learned the other node's clock anew, so the first request on
// one could lie unread there until long after its deadline, and then start.
BOOST_AUTO_TEST_CASE(TheFirstRequestOnANewConnectionStatesItsDeadline) {
  scripted_owner owner{2, AnswerAndClose};
  Publish(
      [&owner](wagtailmount::upstream& each) { each.hop = owner.Address(); });
  BOOST_TEST(Call(Entry().caller_address, "GET", "/").status == 200);
  BOOST_TEST(Call(Entry().caller_address, "GET", "/").status == 200);
  BOOST_REQUIRE(owner.Heads().size() == 2U);
  BOOST_TEST(HeaderValue(owner.Heads()[0], "Wagtailmount-Owner-Deadline") ==
             "");
  BOOST_TEST(HeaderValue(owner.Heads()[1], "Wagtailmount-Owner-Deadline") !=
             "");
}

BOOST_AUTO_TEST_SUITE_END()
