#include <boost/test/unit_test.hpp>
#include <optional>

#include "LibSpread/join_gate.h"

namespace wagtailmount {

namespace {

using std::chrono::seconds;

version_id Version(std::uint64_t revision) { return {revision, {}}; }

hello_message HelloOf(std::string vm, std::uint64_t held, std::uint64_t newest,
                      std::uint64_t last_held) {
  hello_message hello;
  hello.sender.vm = std::move(vm);
  hello.held = Version(held);
  hello.newest_seen = newest;
  hello.receiver_last_held = Version(last_held);
  return hello;
}

struct gate_case {
  std::string name;
  std::vector<hello_message> hellos;
  std::size_t expected_peers = 3;
  std::uint64_t held = 0;
  std::uint64_t refused = 0;
  seconds passed{0};
  join_decision decision = join_decision::kWait;
};

std::vector<gate_case> Cases() {
  const auto a = HelloOf("a", 7, 7, 0);
  const auto b = HelloOf("b", 7, 7, 0);
  const auto c = HelloOf("c", 7, 7, 0);
  const auto knows = HelloOf("c", 7, 7, 9);
  const auto sees_newer = HelloOf("c", 7, 8, 0);
  using enum join_decision;
  return {
      {"nothing known", {}, 0, 0, 0, seconds{0}, kWait},
      {"nothing known, wait over", {}, 0, 0, 0, seconds{5}, kServeNothing},
      {"platform's word alone", {}, 0, 7, 0, seconds{4}, kWait},
      {"platform's word alone, wait over", {}, 0, 7, 0, seconds{5}, kServe},
      {"enough peers agree", {a, b, c}, 20, 7, 0, seconds{0}, kServe},
      {"one peer said it three times", {a, a, a}, 20, 7, 0, seconds{0}, kWait},
      {"all of few peers agree", {a, b}, 2, 7, 0, seconds{0}, kServe},
      {"enough peers, nothing held", {a, b, c}, 3, 0, 0, seconds{0}, kWait},
      {"older than the peers", {a, b, c}, 3, 6, 0, seconds{0}, kWait},
      {"older than the peers, wait over",
       {a, b, c},
       3,
       6,
       0,
       seconds{5},
       kServe},
      {"this VM held more", {a, b, knows}, 3, 7, 0, seconds{0}, kWait},
      {"this VM held more, wait over",
       {a, b, knows},
       3,
       7,
       0,
       seconds{500},
       kServeNothing},
      {"this VM held more, caught up",
       {a, b, knows},
       3,
       9,
       0,
       seconds{500},
       kServe},
      {"a newer one was seen", {a, b, sees_newer}, 3, 7, 0, seconds{0}, kWait},
      {"the newer one is refused",
       {a, b, sees_newer},
       3,
       7,
       8,
       seconds{0},
       kServe},
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(join_gate_suite)

BOOST_AUTO_TEST_CASE(ServingBeginsOnlyWithWhatMayBeServed) {
  for (const auto& each : Cases()) {
    const time_point start{seconds{100}};
    join_gate gate({.join_wait = seconds{5}, .enough_peers = 3}, start);
    gate.SetExpectedPeers(each.expected_peers);
    for (const auto& hello : each.hellos) {
      gate.NoteHello(hello);
    }
    gate.NoteRefused(each.refused);
    const auto decision = gate.Decide(start + each.passed, Version(each.held));
    BOOST_TEST((decision == each.decision), each.name);
  }
}

BOOST_AUTO_TEST_CASE(OnceBegunItGoesOnAndCountsLateWord) {
  const time_point start{seconds{100}};
  join_gate gate({}, start);
  BOOST_TEST(
      (gate.Decide(start + seconds{6}, Version(7)) == join_decision::kServe));
  gate.NoteHello(HelloOf("a", 9, 9, 9));
  BOOST_TEST(
      (gate.Decide(start + seconds{6}, Version(7)) == join_decision::kServe));
  BOOST_TEST(gate.LateVersionReports() == 1U);
}

BOOST_AUTO_TEST_CASE(PausedProcessWaitsAgain) {
  const time_point start{seconds{100}};
  join_gate gate({.join_wait = seconds{5}, .enough_peers = 3}, start);
  const time_point woken = start + seconds{60};
  gate.AfterPause(woken);
  BOOST_TEST((gate.Decide(woken, Version(7)) == join_decision::kWait));
  BOOST_TEST(
      (gate.Decide(woken + seconds{5}, Version(7)) == join_decision::kServe));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
