#include <boost/test/unit_test.hpp>
#include <thread>

#include "Tests/LibTraffic/traffic_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using wagtailmount::upstream;

namespace {

// The expected answer to a posting (POST, not idempotent) and to a lookup (GET,
// idempotent, up to three attempts) when the backend server misbehaves. The
// runs that the backend servers counted show whether the verdict is right.
struct failure_row {
  const char* behaviour;
  int status;
  const char* verdict;
  const char* reason;
  int runs_of_posting;  ///< Sum over all backend servers.
  int runs_of_lookup;   ///< Sum over all backend servers.
};

const failure_row kFailures[] = {
    {"close-unread", 502, "may-have-run", "connection-lost", 0, 0},
    {"reset-after-read", 502, "may-have-run", "connection-lost", 1, 3},
    {"truncate", 502, "may-have-run", "truncated-answer", 1, 3},
    {"truncate-chunked", 502, "may-have-run", "truncated-answer", 1, 3},
    {"until-close", 502, "may-have-run", "malformed-answer", 1, 3},
    {"wrong-id", 502, "may-have-run", "mismatched-answer", 1, 3},
    {"garbage", 502, "may-have-run", "malformed-answer", 1, 3},
    {"hang", 504, "may-have-run", "deadline", 1, 1},
    {"not-run", 503, "not-run", "shed", 0, 0},
};

int RunsOf(traffic_fixture& fixture, const std::string& id) {
  int runs = 0;
  for (int number = 1; number <= 3; ++number) {
    runs += fixture.Owner(number).backend_server->RunsOf(id);
  }
  return runs;
}

void CheckFailures(bool is_local) {
  test_policy policy;
  policy.deadline = milliseconds{400};
  traffic_fixture fixture{3, policy};
  fixture.Publish();
  const auto where =
      is_local ? fixture.Owner(1).caller : fixture.Entry().caller;
  for (const failure_row& row : kFailures) {
    for (const bool is_posting : {true, false}) {
      const std::string id =
          std::string(row.behaviour) + (is_posting ? "-posting" : "-lookup");
      BOOST_TEST_CONTEXT(id << (is_local ? ", local" : ", two hops")) {
        const auto answer = Call(where, is_posting ? "POST" : "GET", "/ledger",
                                 "X-Fake: " + std::string(row.behaviour) +
                                     "\r\nX-Request-Id: " + id + "\r\n",
                                 is_posting ? "amount=20" : "");
        BOOST_TEST(answer.is_whole);
        BOOST_TEST(answer.status == row.status);
        BOOST_TEST(answer.Field("Wagtailmount-Verdict") == row.verdict);
        BOOST_TEST(answer.Field("Wagtailmount-Reason") == row.reason);
        BOOST_TEST(answer.Field("X-Request-Id") == id);
        BOOST_TEST(RunsOf(fixture, id) ==
                   (is_posting ? row.runs_of_posting : row.runs_of_lookup));
      }
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(failures_suite)

BOOST_AUTO_TEST_CASE(EachFailureHasItsVerdictOverTwoHops) {
  CheckFailures(false);
}

BOOST_AUTO_TEST_CASE(EachFailureHasItsVerdictLocally) { CheckFailures(true); }

BOOST_AUTO_TEST_CASE(ARefusedConnectionIsNotRunAndGoesElsewhere) {
  traffic_fixture fixture{3};
  fixture.Publish();
  fixture.Owner(1).backend_server.reset();
  fixture.Owner(2).server.reset();
  for (int call = 0; call < 20; ++call) {
    const auto answer =
        Call(fixture.Entry().caller, "POST", "/postings", "", "amount=20");
    BOOST_TEST(answer.status == 200);
  }
  BOOST_TEST(fixture.Owner(3).backend_server->AllRuns() == 20);
  fixture.Owner(3).backend_server.reset();
  const auto answer =
      Call(fixture.Entry().caller, "POST", "/postings", "", "amount=20");
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.Field("Wagtailmount-Verdict") == "not-run");
  BOOST_TEST(answer.Field("Wagtailmount-Reason") == "unreachable");
  BOOST_TEST(!answer.Field("Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(ABackendServerThatClosesItsKeptConnectionHarmsNobody) {
  traffic_fixture fixture{1};
  fixture.Publish();
  const auto where = fixture.Owner(1).caller;
  for (int call = 0; call < 20; ++call) {
    const auto first = Call(where, "GET", "/", "X-Fake: close-after\r\n");
    BOOST_TEST(first.status == 200);
    std::this_thread::sleep_for(milliseconds{5});
    const std::string id = "posting-" + std::to_string(call);
    const auto second =
        Call(where, "POST", "/", "X-Request-Id: " + id + "\r\n", "amount=20");
    BOOST_TEST(second.status == 200);
    BOOST_TEST(fixture.Owner(1).backend_server->RunsOf(id) == 1);
  }
}

BOOST_AUTO_TEST_CASE(ATruncatedLongAnswerNeverPassesAsWhole) {
  traffic_fixture fixture{2};
  fixture.Publish();
  for (const auto& where : {fixture.Entry().caller, fixture.Owner(1).caller}) {
    for (int call = 0; call < 5; ++call) {
      const auto answer = Call(where, "GET", "/", "X-Fake: truncate-long\r\n");
      BOOST_TEST(!answer.is_whole);
    }
    const auto answer = Call(where, "GET", "/", "X-Fake: long\r\n");
    BOOST_TEST(answer.is_whole);
    BOOST_TEST(answer.body.size() == 1024U * 1024U);
  }
}

BOOST_AUTO_TEST_CASE(AnAbandonedQueuedRequestNeverRuns) {
  test_policy policy;
  policy.limits.slots = 1;
  policy.attempts = 1;
  policy.deadline = milliseconds{5'000};
  traffic_fixture fixture{1, policy};
  fixture.Publish();
  auto& owner = fixture.Owner(1);
  for (const auto& where : {fixture.Entry().caller, owner.caller}) {
    const int runs_before = owner.backend_server->AllRuns();
    test_caller holder{where};
    holder.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Fake: slow\r\n\r\n");
    BOOST_REQUIRE(Eventually(
        [&] { return owner.backend_server->AllRuns() == runs_before + 1; }));
    test_caller leaver{where};
    leaver.Send(
        "POST / HTTP/1.1\r\nHost: a\r\nX-Request-Id: left\r\n"
        "Content-Length: 2\r\n\r\nab");
    std::this_thread::sleep_for(milliseconds{100});
    leaver.Close();
    BOOST_TEST(holder.Receive().status == 200);
    BOOST_TEST(Eventually([&] {
      return owner.server->IsIdle() && fixture.Entry().server->IsIdle();
    }));
    BOOST_TEST(owner.backend_server->RunsOf("left") == 0);
  }
}

BOOST_AUTO_TEST_CASE(AnAbandonedRunningRequestIsCancelled) {
  test_policy policy;
  policy.deadline = milliseconds{20'000};
  traffic_fixture fixture{1, policy};
  fixture.Publish();
  for (const auto& where : {fixture.Entry().caller, fixture.Owner(1).caller}) {
    test_caller caller{where};
    caller.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Fake: hang\r\n\r\n");
    std::this_thread::sleep_for(milliseconds{100});
    BOOST_TEST(!fixture.Owner(1).server->IsIdle());
    caller.Close();
    BOOST_TEST(Eventually([&] {
      return fixture.Owner(1).server->IsIdle() &&
             fixture.Entry().server->IsIdle();
    }));
  }
}

BOOST_AUTO_TEST_CASE(SlotsAndConnectionsAreNeverExceeded) {
  test_policy policy;
  policy.limits.slots = 3;
  policy.limits.connections = 4;
  policy.limits.queue = 4;
  policy.attempts = 1;
  for (const std::uint32_t threads : {1U, 3U}) {
    traffic_fixture fixture{1, policy, threads};
    fixture.Publish();
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::vector<std::thread> callers;
    for (int number = 0; number < 20; ++number) {
      callers.emplace_back([&, number] {
        const auto where =
            number % 2 == 0 ? fixture.Entry().caller : fixture.Owner(1).caller;
        for (int call = 0; call < 20; ++call) {
          const auto answer = Call(where, "POST", "/", "", "x");
          const bool is_refused =
              answer.Field("Wagtailmount-Verdict") == "not-run";
          ++(is_refused ? refused : answered);
        }
      });
    }
    for (std::thread& each : callers) {
      each.join();
    }
    auto& backend = *fixture.Owner(1).backend_server;
    BOOST_TEST(answered + refused == 400);
    BOOST_TEST(backend.AllRuns() == answered.load());
    BOOST_TEST(backend.MostRunning() <= 3);
    BOOST_TEST(backend.MostConnections() <= 4);
  }
}

BOOST_AUTO_TEST_CASE(RetriesStayWithinTheBudget) {
  test_policy policy;
  policy.budget_share = 0.1;
  policy.attempts = 3;
  traffic_fixture fixture{3, policy};
  fixture.Publish();
  for (int call = 0; call < 100; ++call) {
    Call(fixture.Entry().caller, "GET", "/", "X-Fake: not-run\r\n");
  }
  const auto counters = fixture.Entry().server->Counters();
  BOOST_TEST(counters.retries <= 21U);
  BOOST_TEST(counters.attempts == 100U + counters.retries);
  BOOST_TEST(counters.retries_over_budget > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
