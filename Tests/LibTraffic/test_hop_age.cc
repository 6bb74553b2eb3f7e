// Requests between nodes that spent a part of their time on the way.

#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "LibTraffic/peer_clock.h"
#include "Tests/LibTraffic/raw_http.h"
#include "Tests/LibTraffic/traffic_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using wagtailmount::endpoint;
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

// An owner that states its clock and ends the connection after each answer.
class closing_owner {
 public:
  explicit closing_owner(int answers) : listener_(Listen(address_)) {
    thread_ = std::thread([this, answers] {
      for (int count = 0; count < answers; ++count) {
        AnswerNext();
      }
    });
  }
  closing_owner(const closing_owner&) = delete;
  closing_owner& operator=(const closing_owner&) = delete;
  ~closing_owner() {
    WaitForEnd();
    close(listener_);
  }

  const endpoint& Address() const { return address_; }
  /// Waits until all answers have been given and returns the header section of
  /// each request.
  const std::vector<std::string>& Heads() {
    WaitForEnd();
    return heads_;
  }

 private:
  static int Listen(const endpoint& address) {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in bound = AddressOf(address);
    BOOST_REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&bound),
                       sizeof bound) == 0);
    BOOST_REQUIRE(listen(listener, 1) == 0);
    const timeval patience{.tv_sec = 10, .tv_usec = 0};
    setsockopt(listener, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    return listener;
  }

  void WaitForEnd() {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  void AnswerNext() {
    const int connection = accept(listener_, nullptr, nullptr);
    std::string head;
    while (head.find("\r\n\r\n") == std::string::npos &&
           ReceiveSome(connection, head)) {
    }
    const auto now = StatedTime(std::chrono::steady_clock::now()).count();
    SendAll(connection,
            "HTTP/1.1 200 OK\r\nWagtailmount-Verdict: ran\r\nX-Request-Id: " +
                HeaderValue(head, "X-Request-Id") +
                "\r\nWagtailmount-Clock: " + std::to_string(now) +
                "\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
    heads_.push_back(head);
    close(connection);
  }

  endpoint address_ = FreeEndpoint();
  int listener_ = -1;
  std::vector<std::string> heads_;
  std::thread thread_;
};

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
  closing_owner owner{2};
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
