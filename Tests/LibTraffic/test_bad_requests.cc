#include <boost/test/unit_test.hpp>

#include "Tests/LibTraffic/traffic_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)

namespace {

struct bad_request {
  const char* name;
  std::string request;
  int status;
  const char* reason;
};

std::vector<bad_request> BadRequests() {
  const std::string host = "Host: ledger\r\n";
  const std::string get = "GET / HTTP/1.1\r\n";
  const std::string post = "POST / HTTP/1.1\r\n";
  return {
      {"two different Content-Length fields",
       post + host + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400,
       "malformed"},
      {"two equal Content-Length fields",
       post + host + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab", 400,
       "ambiguous-length"},
      {"a list in Content-Length",
       post + host + "Content-Length: 2, 2\r\n\r\nab", 400, "ambiguous-length"},
      {"a signed Content-Length", post + host + "Content-Length: +2\r\n\r\nab",
       400, "malformed"},
      {"Content-Length before chunked",
       post + host +
           "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       400, "malformed"},
      {"chunked before Content-Length",
       post + host +
           "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n",
       400, "malformed"},
      {"chunked twice",
       post + host +
           "Transfer-Encoding: chunked\r\nTransfer-Encoding: "
           "chunked\r\n\r\n0\r\n\r\n",
       400, "malformed"},
      {"chunked not the last encoding",
       post + host + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", 501,
       "transfer-encoding-not-supported"},
      {"gzip before chunked",
       post + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501,
       "transfer-encoding-not-supported"},
      {"an unknown transfer encoding",
       post + host + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501,
       "transfer-encoding-not-supported"},
      {"an invalid chunk size",
       post + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n", 400,
       "malformed-body"},
      {"two Host fields", get + host + "Host: other\r\n\r\n", 400,
       "host-missing-or-repeated"},
      {"no Host field", get + "\r\n", 400, "host-missing-or-repeated"},
      {"a space before the colon of a field", get + "Host : ledger\r\n\r\n",
       400, "malformed"},
      {"lines that end without a carriage return",
       "GET / HTTP/1.1\nHost: ledger\n\n", 400, "malformed"},
      {"a null byte in a field value",
       get + host + std::string("X-A: a\0b\r\n\r\n", 12), 400, "malformed"},
      {"a line that is not HTTP", "hello there\r\n\r\n", 400, "malformed"},
      {"HTTP/1.0", "GET / HTTP/1.0\r\n" + host + "\r\n", 505,
       "http-version-not-supported"},
      {"an absolute URI as target",
       "GET http://ledger/ HTTP/1.1\r\n" + host + "\r\n", 400,
       "target-not-a-path"},
      {"dot segments", "GET /public/../private HTTP/1.1\r\n" + host + "\r\n",
       400, "path-ambiguous"},
      {"encoded dot segments",
       "GET /public/%2E%2e/private HTTP/1.1\r\n" + host + "\r\n", 400,
       "path-ambiguous"},
      {"encoded slashes", "GET /a/..%2fb HTTP/1.1\r\n" + host + "\r\n", 400,
       "path-ambiguous"},
      {"the method CONNECT", "CONNECT ledger:80 HTTP/1.1\r\n" + host + "\r\n",
       501, "upgrade-not-supported"},
      {"an upgrade to WebSocket",
       get + host + "Connection: upgrade\r\nUpgrade: websocket\r\n\r\n", 501,
       "upgrade-not-supported"},
      {"an unknown expectation", post + host + "Expect: 200-maybe\r\n\r\n", 417,
       "expectation-not-supported"},
      {"a target above the length limit",
       "GET /" + std::string(9'000, 'a') + " HTTP/1.1\r\n" + host + "\r\n", 414,
       "target-too-long"},
      {"a header above the size limit",
       get + host + "X-A: " + std::string(20'000, 'a') + "\r\n\r\n", 431,
       "header-too-large"},
      {"a Content-Length above the body limit",
       post + host + "Content-Length: 99999999999\r\n\r\n", 413,
       "body-too-large"},
      {"a space in the request id", get + host + "X-Request-Id: a b\r\n\r\n",
       400, "bad-request-id"},
      {"a request id above the length limit",
       get + host + "X-Request-Id: " + std::string(129, 'a') + "\r\n\r\n", 400,
       "bad-request-id"},
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(bad_requests_suite)

BOOST_AUTO_TEST_CASE(EachMalformedRequestIsRefusedWithItsStatusAndReason) {
  traffic_fixture fixture{1};
  fixture.Publish();
  const auto requests = BadRequests();
  for (const bad_request& bad : requests) {
    BOOST_TEST_CONTEXT(bad.name) {
      test_caller caller{fixture.Owner(1).caller_address};
      caller.Send(bad.request);
      const auto answer = caller.Receive();
      BOOST_TEST(answer.is_complete);
      BOOST_TEST(answer.status == bad.status);
      BOOST_TEST(answer.Field("Wagtailmount-Reason") == bad.reason);
      BOOST_TEST(answer.Field("Wagtailmount-Verdict") == "not-run");
      BOOST_TEST(answer.Field("Connection") == "close");
      BOOST_TEST(caller.IsClosed());
    }
  }
  BOOST_TEST(fixture.Owner(1).backend_server->TotalRuns() == 0);
  BOOST_TEST(fixture.Owner(1).server->Counters().bad_requests ==
             requests.size());
}

BOOST_AUTO_TEST_CASE(InternalAndHopByHopFieldsOfACallerAreNotForwarded) {
  traffic_fixture fixture{1};
  fixture.Publish();
  auto& owner = fixture.Owner(1);
  const auto answer = Call(owner.caller_address, "GET", "/",
                           "Wagtailmount-Hop: vm-1 other 1000 0 1\r\n"
                           "wagtailmount-hop: vm-2 other 1000 0 1\r\n"
                           "Wagtailmount-Verdict: ran\r\n"
                           "Wagtailmount-Anything: x\r\n"
                           "Connection: keep-alive, X-Private\r\n"
                           "X-Private: y\r\nKeep-Alive: 5\r\n");
  BOOST_TEST(answer.status == 200);
  const std::string head = owner.backend_server->LastRequestHead();
  for (const char* name : {"agtailmount", "X-Private", "Keep-Alive"}) {
    BOOST_TEST(head.find(name) == std::string::npos);
  }
  // The paths of the admin interface are forwarded like any other.
  BOOST_TEST(Call(owner.caller_address, "POST", "/v1/drain").body == "hello");
  BOOST_TEST(Eventually([&] { return owner.server->IsIdle(); }));
}

BOOST_AUTO_TEST_CASE(InternalFieldsOfABackendServerAreNotForwarded) {
  traffic_fixture fixture{1};
  fixture.Publish();
  for (const auto& address :
       {fixture.Entry().caller_address, fixture.Owner(1).caller_address}) {
    const auto answer = Call(address, "GET", "/", "X-Fake: own-fields\r\n");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.Field("Wagtailmount-Verdict") == "ran");
    BOOST_TEST(answer.head.find("queue-full") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(TheHopAddressServesOnlyRequestsForItsOwnVmAndService) {
  traffic_fixture fixture{1};
  fixture.Publish();
  auto& owner = fixture.Owner(1);
  const auto call_hop_address = [&](const std::string& vm,
                                    const std::string& service) {
    return Call(owner.hop_address, "GET", "/",
                "X-Request-Id: a\r\nWagtailmount-Hop: " + vm + " " + service +
                    " 1000 0 1\r\n");
  };
  BOOST_TEST(call_hop_address("vm-1", "ledger").status == 200);
  BOOST_TEST(call_hop_address("vm-2", "ledger").Field("Wagtailmount-Reason") ==
             "wrong-owner");
  BOOST_TEST(call_hop_address("vm-1", "other").Field("Wagtailmount-Reason") ==
             "wrong-owner");
  BOOST_TEST(Call(owner.hop_address, "GET", "/").status == 0);
  // A Wagtailmount-Hop with an invalid time or too many values closes the
  // connection.
  BOOST_TEST(call_hop_address("vm-1", "ledger soon").status == 0);
  BOOST_TEST(call_hop_address("vm-1", "ledger 1 1 1 1").status == 0);
  BOOST_TEST(owner.backend_server->TotalRuns() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
