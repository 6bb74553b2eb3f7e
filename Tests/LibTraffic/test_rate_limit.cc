// Backend servers that name in their answers how many requests a second they
// take.

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <thread>
#include <vector>

#include "Tests/LibTraffic/traffic_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using wagtailmount::endpoint;
using wagtailmount::upstream;

namespace {

constexpr milliseconds kWindow{4'000};
// How many requests a backend server may get within kWindow once it names a
// limit.
constexpr int MaximumWithinWindow(double limit) {
  return static_cast<int>(1.5 * limit * 4.0) + 5;
}

// Callers that send requests to several nodes, each the next one 5 ms after the
// answer to the last one.
class steady_callers {
 public:
  explicit steady_callers(const std::vector<endpoint>& addresses,
                          const std::string& header_lines = {}) {
    for (const endpoint& address : addresses) {
      threads_.emplace_back([this, address, header_lines] {
        while (!is_stopping_) {
          const auto answer = Call(address, "GET", "/", header_lines);
          served_ += answer.status == 200 ? 1 : 0;
          refused_not_run_ +=
              answer.Field("Wagtailmount-Verdict") == "not-run" ? 1 : 0;
          ++calls_;
          std::this_thread::sleep_for(milliseconds{5});
        }
      });
    }
  }
  steady_callers(const steady_callers&) = delete;
  steady_callers& operator=(const steady_callers&) = delete;
  ~steady_callers() { Stop(); }

  void Stop() {
    is_stopping_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

  int Calls() const { return calls_; }
  int Served() const { return served_; }
  int RefusedNotRun() const { return refused_not_run_; }

 private:
  std::atomic<bool> is_stopping_{false};
  std::atomic<int> calls_{0};
  std::atomic<int> served_{0};
  std::atomic<int> refused_not_run_{0};
  std::vector<std::thread> threads_;
};

fixture_options Options() {
  fixture_options options;
  options.deadline = milliseconds{1'000};
  options.latency_objective = milliseconds{250};
  options.expected_backend_server = "X-Backend-Id";
  return options;
}

struct rate_limit_fixture : traffic_fixture {
  rate_limit_fixture() : traffic_fixture(2, Options()) {}

  // Leaves vm-1 as the only upstream in use.
  void PublishOnlyTheFirst() {
    Publish([](wagtailmount::upstream& each) {
      each.is_leaving = each.vm != "vm-1";
    });
  }

  // Callers that send many requests before the first answer comes.
  std::vector<endpoint> ManyAtTheEntry() {
    return std::vector<endpoint>(24, Entry().caller_address);
  }

  // Callers at the entry and at the owner itself.
  std::vector<endpoint> CallerAddresses() {
    return {Entry().caller_address, Entry().caller_address,
            Owner(1).caller_address, Owner(1).caller_address};
  }
};

// The next start of the backend server has another id and incarnation.
void NextStart(upstream& each) {
  each.is_leaving = each.vm != "vm-1";
  each.backend_server_id += "-second";
  ++each.incarnation;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rate_limit_suite, rate_limit_fixture)

BOOST_AUTO_TEST_CASE(ABackendServerGetsNoMoreThanTheRateLimitThatItNames) {
  constexpr double kLimit = 10.0;
  PublishOnlyTheFirst();
  auto& limited = *Owner(1).backend_server;
  steady_callers callers{CallerAddresses()};
  BOOST_REQUIRE(Eventually([&] { return limited.TotalRuns() > 20; }));
  limited.SetAnswerFields("X-Backend-Rate-Limit: 10.0\r\n");
  const auto named = steady_clock::now() + milliseconds{500};
  std::this_thread::sleep_for(milliseconds{500} + kWindow);
  callers.Stop();
  BOOST_TEST(limited.MaximumReceived(named, kWindow) <=
             MaximumWithinWindow(kLimit));
  // It gets what it takes, and everybody else an answer that says not run.
  BOOST_TEST(limited.MaximumReceived(named, kWindow) >=
             static_cast<int>(0.7 * kLimit * 4.0));
  BOOST_TEST(callers.Served() + callers.RefusedNotRun() == callers.Calls());
}

// What one backend server does not take is served by the others.
BOOST_AUTO_TEST_CASE(RequestsBeyondARateLimitAreServedElsewhere) {
  constexpr double kLimit = 5.0;
  Publish();
  auto& limited = *Owner(1).backend_server;
  limited.SetAnswerFields("X-Backend-Rate-Limit: 5\r\n");
  steady_callers callers{CallerAddresses()};
  BOOST_REQUIRE(Eventually([&] { return limited.TotalRuns() > 0; }));
  const auto named = steady_clock::now() + milliseconds{500};
  std::this_thread::sleep_for(milliseconds{500} + kWindow);
  callers.Stop();
  BOOST_TEST(limited.MaximumReceived(named, kWindow) <=
             MaximumWithinWindow(kLimit));
  BOOST_TEST(callers.Served() == callers.Calls());
}

// A limit holds for as long as the answers name it.
BOOST_AUTO_TEST_CASE(ARateLimitEndsWithTheFirstAnswerThatNamesNone) {
  PublishOnlyTheFirst();
  auto& limited = *Owner(1).backend_server;
  limited.SetAnswerFields("X-Backend-Rate-Limit: 2\r\n");
  steady_callers callers{CallerAddresses()};
  std::this_thread::sleep_for(milliseconds{1'500});
  BOOST_TEST(limited.TotalRuns() <= MaximumWithinWindow(2.0));
  limited.SetAnswerFields("");
  const int before = limited.TotalRuns();
  BOOST_TEST(Eventually([&] { return limited.TotalRuns() > before + 100; }));
}

// A backend server that takes nothing at all must be asked at times, or nobody
// would learn that it takes requests again.
BOOST_AUTO_TEST_CASE(ABackendServerThatNamedALimitOfZeroIsAskedAgain) {
  PublishOnlyTheFirst();
  auto& limited = *Owner(1).backend_server;
  limited.SetAnswerFields("X-Backend-Rate-Limit: 0\r\n");
  steady_callers callers{CallerAddresses()};
  BOOST_REQUIRE(Eventually([&] { return limited.TotalRuns() > 0; }));
  const auto named = steady_clock::now() + milliseconds{500};
  std::this_thread::sleep_for(milliseconds{500} + kWindow);
  BOOST_TEST(limited.MaximumReceived(named, kWindow) <=
             MaximumWithinWindow(0.0));
  limited.SetAnswerFields("");
  const int before = limited.TotalRuns();
  BOOST_TEST(Eventually([&] { return limited.TotalRuns() > before + 100; }));
}

// Its first answer comes only after many requests; callers at other nodes would
// make the backend server get them all.
BOOST_AUTO_TEST_CASE(ARestartedOwnerKeepsToTheLimitThatOtherNodesKnow) {
  constexpr double kLimit = 2.0;
  PublishOnlyTheFirst();
  auto& limited = *Owner(1).backend_server;
  limited.SetAnswerFields("X-Backend-Rate-Limit: 2\r\n");
  steady_callers callers{ManyAtTheEntry(), "X-Fake: slow\r\n"};
  std::this_thread::sleep_for(milliseconds{2'000});
  const auto named = steady_clock::now();
  RestartOwner(1);
  PublishOnlyTheFirst();
  std::this_thread::sleep_for(kWindow);
  callers.Stop();
  BOOST_TEST(limited.MaximumReceived(named, kWindow) <=
             MaximumWithinWindow(kLimit));
  BOOST_TEST(limited.MaximumReceived(named, kWindow) > 0);
}

// Nodes that know only an earlier start of the backend server name that one;
// the refusal of such a request says nothing of its limit.
BOOST_AUTO_TEST_CASE(ARequestForAnotherStartDoesNotLiftALimit) {
  constexpr double kLimit = 2.0;
  PublishOnlyTheFirst();
  auto& limited = *Owner(1).backend_server;
  limited.SetAnswerFields("X-Backend-Rate-Limit: 2\r\n");
  steady_callers callers{ManyAtTheEntry(), "X-Fake: slow\r\n"};
  std::this_thread::sleep_for(milliseconds{1'500});
  const auto named = steady_clock::now();
  while (steady_clock::now() < named + kWindow) {
    Call(Owner(1).hop_address, "POST", "/",
         "X-Request-Id: stale\r\nX-Backend-Id: earlier\r\n"
         "X-Fake: misdirected\r\nWagtailmount-Hop: vm-1 ledger 900 0 1\r\n",
         "amount=20");
    std::this_thread::sleep_for(milliseconds{50});
  }
  callers.Stop();
  BOOST_TEST(limited.MaximumReceived(named, kWindow) <=
             MaximumWithinWindow(kLimit));
}

BOOST_AUTO_TEST_CASE(ANewStartIsNotBoundByTheRateLimitOfTheOneBefore) {
  PublishOnlyTheFirst();
  auto& limited = *Owner(1).backend_server;
  limited.SetAnswerFields("X-Backend-Rate-Limit: 0\r\n");
  BOOST_REQUIRE(Call(Entry().caller_address, "GET", "/").status == 200);
  limited.SetAnswerFields({});
  Publish(NextStart);
  for (const endpoint& address : CallerAddresses()) {
    BOOST_TEST(Call(address, "GET", "/").status == 200);
  }
}

BOOST_AUTO_TEST_CASE(ALateAnswerOfAnEarlierStartBindsNoOther) {
  PublishOnlyTheFirst();
  auto& limited = *Owner(1).backend_server;
  std::thread late(
      [this] { Call(Entry().caller_address, "GET", "/", "X-Fake: wait\r\n"); });
  BOOST_REQUIRE(Eventually([&] { return limited.TotalRuns() == 1; }));
  Publish(NextStart);
  BOOST_TEST(Call(Entry().caller_address, "GET", "/").status == 200);
  limited.SetAnswerFields("X-Backend-Rate-Limit: 0\r\n");
  limited.ReleaseWaitingRequests();
  late.join();
  limited.SetAnswerFields({});
  for (const endpoint& address : CallerAddresses()) {
    BOOST_TEST(Call(address, "GET", "/").status == 200);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(rate_limit_without_ids_suite)

// Where backend servers have no ids, a node knows a limit only of its own one.
BOOST_AUTO_TEST_CASE(ARateLimitBindsNoOtherBackendServer) {
  fixture_options options;
  options.latency_objective = milliseconds{250};
  traffic_fixture fixture{2, options};
  fixture.Publish();
  fixture.Owner(1).backend_server->SetAnswerFields(
      "X-Backend-Rate-Limit: 1\r\n");
  auto& other = *fixture.Owner(2).backend_server;
  steady_callers callers{{fixture.Owner(2).caller_address,
                          fixture.Owner(2).caller_address,
                          fixture.Entry().caller_address}};
  BOOST_REQUIRE(Eventually(
      [&] { return fixture.Owner(1).backend_server->TotalRuns() > 1; }));
  const auto named = steady_clock::now();
  std::this_thread::sleep_for(milliseconds{1'500});
  callers.Stop();
  BOOST_TEST(other.MaximumReceived(named, milliseconds{1'000}) >= 60);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(malformed_rate_limit_suite, rate_limit_fixture)

BOOST_AUTO_TEST_CASE(AMalformedRateLimitChangesNothing) {
  PublishOnlyTheFirst();
  auto& backend = *Owner(1).backend_server;
  for (const char* const limit : {"-1", "nan", "inf", "1e3", "ten", "5 5"}) {
    backend.SetAnswerFields("X-Backend-Rate-Limit: " + std::string{limit} +
                            "\r\n");
    for (int call = 0; call < 30; ++call) {
      BOOST_TEST(Call(Entry().caller_address, "GET", "/").status == 200);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
