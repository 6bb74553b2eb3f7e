// Backend servers that are cold, over real sockets.

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <thread>
#include <vector>

#include "Tests/LibTraffic/traffic_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using wagtailmount::own_backend_server;
using wagtailmount::upstream;

namespace {

constexpr milliseconds kSecond{1'000};
constexpr milliseconds kPeriod{5'000};
constexpr double kColdRate = 16.0;
// While nothing else is wrong, every upstream gets a request within this time.
constexpr milliseconds kCalm{4'000};
// kColdRate x 1.5 + 8.
constexpr int kAllowed = 32;

fixture_options Options() {
  fixture_options options;
  options.deadline = kSecond;
  options.latency_objective = milliseconds{250};
  options.limits.slots = 20;
  options.limits.connections = 60;
  options.limits.cold_start.period = kPeriod;
  options.limits.cold_start.requests_a_second = kColdRate;
  options.cold_overage = 1.5;
  options.cold_slack = 8;
  return options;
}

// Many callers at the entry, each of which sends the next request 5 ms after
// the answer to the last one.
class many_callers {
 public:
  explicit many_callers(const wagtailmount::endpoint& address) {
    constexpr int kCallers = 16;
    for (int number = 0; number < kCallers; ++number) {
      threads_.emplace_back([this, address] {
        while (!is_stopping_) {
          Call(address, "GET", "/");
          std::this_thread::sleep_for(milliseconds{5});
        }
      });
    }
  }
  many_callers(const many_callers&) = delete;
  many_callers& operator=(const many_callers&) = delete;
  ~many_callers() {
    is_stopping_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }

 private:
  std::atomic<bool> is_stopping_{false};
  std::vector<std::thread> threads_;
};

struct cold_fixture : traffic_fixture {
  // What a node reads right after its start may be older than the start.
  cold_fixture() : traffic_fixture(1, Options()) {
    std::this_thread::sleep_for(milliseconds{600});
  }

  // What the platform states now about the backend server.
  void State(std::uint64_t incarnation, milliseconds remaining) {
    own_backend_server own;
    own.service = "ledger";
    own.limits = Options().limits;
    own.incarnation = incarnation;
    own.cold_remaining = remaining;
    own.cold_stated_at = Now();
    Publish({}, own);
  }

  int MostIn(milliseconds window) {
    return Owner(1).backend_server->MaximumReceived({}, window);
  }

  // Waits until it gets more in a second than it may get while it is cold.
  bool IsWarm() {
    return Eventually([&] { return MostIn(kSecond) > 2 * kAllowed; });
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cold_suite, cold_fixture)

BOOST_AUTO_TEST_CASE(AWarmBackendServerIsNotLimited) {
  State(1, milliseconds{0});
  many_callers callers{Entry().caller_address};
  BOOST_TEST(IsWarm());
}

BOOST_AUTO_TEST_CASE(AColdBackendServerGetsNoMoreInASecondThanItTakes) {
  State(1, kPeriod);
  many_callers callers{Entry().caller_address};
  std::this_thread::sleep_for(kPeriod - milliseconds{300});
  BOOST_TEST(MostIn(kSecond) <= kAllowed);
  BOOST_TEST(MostIn(kSecond) >= kAllowed / 2);
  // And is used whole once it is warm.
  BOOST_TEST(IsWarm());
}

// Its registration comes later than the callers.
BOOST_AUTO_TEST_CASE(ARestartIsNoticedByItsConnections) {
  State(1, milliseconds{0});
  many_callers callers{Entry().caller_address};
  BOOST_REQUIRE(IsWarm());
  RestartBackendServer(1);
  std::this_thread::sleep_for(kCalm);
  BOOST_TEST(MostIn(kSecond) <= kAllowed);
  BOOST_TEST(MostIn(kCalm) > 0);
  State(2, milliseconds{0});
  BOOST_TEST(IsWarm());
}

// Guards against a connection that was opened to see whether it has ended, and
// then counts as older than the restart.
BOOST_AUTO_TEST_CASE(ARestartBehindAnOpenListenerIsNoticedByItsConnections) {
  State(1, milliseconds{0});
  many_callers callers{Entry().caller_address};
  BOOST_REQUIRE(IsWarm());
  test_caller running{Entry().caller_address};
  running.Send(
      "GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: running\r\n"
      "X-Fake: wait\r\n\r\n");
  BOOST_REQUIRE(Eventually(
      [&] { return Owner(1).backend_server->RunCount("running") == 1; }));
  const auto restarted = steady_clock::now();
  Owner(1).backend_server->CloseConnections();
  std::this_thread::sleep_for(kCalm);
  BOOST_TEST(Owner(1).backend_server->MaximumReceived(restarted, kSecond) <=
             kAllowed);
  BOOST_TEST(Owner(1).backend_server->MaximumReceived(restarted, kCalm) > 0);
}

BOOST_AUTO_TEST_CASE(ARestartedOwnerKeepsToTheBoundOverBothProcesses) {
  State(1, 2 * kPeriod);
  many_callers callers{Entry().caller_address};
  std::this_thread::sleep_for(milliseconds{1'500});
  RestartOwner(1);
  Publish();
  const auto restarted = steady_clock::now();
  std::this_thread::sleep_for(kCalm);
  BOOST_TEST(MostIn(kSecond) <= kAllowed);
  BOOST_TEST(Owner(1).backend_server->MaximumReceived(restarted, kCalm) > 0);
}

BOOST_AUTO_TEST_CASE(AStatementWhileItIsWarmTakesEffectAtOnce) {
  State(1, milliseconds{0});
  many_callers callers{Entry().caller_address};
  BOOST_REQUIRE(IsWarm());
  State(1, kPeriod);
  const auto stated = steady_clock::now() + milliseconds{100};
  std::this_thread::sleep_for(kPeriod - milliseconds{300});
  BOOST_TEST(Owner(1).backend_server->MaximumReceived(stated, kSecond) <=
             kAllowed);
}

BOOST_AUTO_TEST_SUITE_END()
