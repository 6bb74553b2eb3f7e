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
  std::uint64_t held_revision = 0;
  std::uint64_t refused_revision = 0;
  seconds elapsed{0};
  join_decision decision = join_decision::kWait;
};

std::vector<gate_case> Cases() {
  const auto a = HelloOf("a", 7, 7, 0);
  const auto b = HelloOf("b", 7, 7, 0);
  const auto c = HelloOf("c", 7, 7, 0);
  const auto saw_newer_held = HelloOf("c", 7, 7, 9);
  const auto knows_newer_revision = HelloOf("c", 7, 8, 0);
  using enum join_decision;
  return {
      {"no version and no hello", {}, 0, 0, 0, seconds{0}, kWait},
      {"no version and no hello, wait over",
       {},
       0,
       0,
       0,
       seconds{5},
       kServeNothing},
      {"version from the platform, no hello", {}, 0, 7, 0, seconds{4}, kWait},
      {"version from the platform, no hello, wait over",
       {},
       0,
       7,
       0,
       seconds{5},
       kServe},
      {"enough peers agree", {a, b, c}, 20, 7, 0, seconds{0}, kServe},
      {"three hellos from one peer", {a, a, a}, 20, 7, 0, seconds{0}, kWait},
      {"all peers agree, fewer than enough_peers",
       {a, b},
       2,
       7,
       0,
       seconds{0},
       kServe},
      {"enough peers, no version held", {a, b, c}, 3, 0, 0, seconds{0}, kWait},
      {"held version older than the peers'",
       {a, b, c},
       3,
       6,
       0,
       seconds{0},
       kWait},
      {"held version older than the peers', wait over",
       {a, b, c},
       3,
       6,
       0,
       seconds{5},
       kServe},
      {"a peer saw this VM hold a newer version",
       {a, b, saw_newer_held},
       3,
       7,
       0,
       seconds{0},
       kWait},
      {"a peer saw this VM hold a newer version, wait over",
       {a, b, saw_newer_held},
       3,
       7,
       0,
       seconds{500},
       kServeNothing},
      {"a peer saw this VM hold a newer version, caught up",
       {a, b, saw_newer_held},
       3,
       9,
       0,
       seconds{500},
       kServe},
      {"a peer has seen a newer revision",
       {a, b, knows_newer_revision},
       3,
       7,
       0,
       seconds{0},
       kWait},
      {"the newer revision was refused",
       {a, b, knows_newer_revision},
       3,
       7,
       8,
       seconds{0},
       kServe},
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(join_gate_suite)

BOOST_AUTO_TEST_CASE(DecisionDependsOnHellosRefusalsAndWait) {
  for (const auto& each : Cases()) {
    const time_point start{seconds{100}};
    join_gate gate({.join_wait = seconds{5}, .enough_peers = 3}, start);
    gate.SetExpectedPeers(each.expected_peers);
    for (const auto& hello : each.hellos) {
      gate.NoteHello(hello);
    }
    gate.NoteRefused(each.refused_revision);
    const auto decision =
        gate.Decide(start + each.elapsed, Version(each.held_revision));
    BOOST_TEST((decision == each.decision), each.name);
  }
}

BOOST_AUTO_TEST_CASE(ServingContinuesAndCountsLateHellos) {
  const time_point start{seconds{100}};
  join_gate gate({}, start);
  BOOST_TEST(
      (gate.Decide(start + seconds{6}, Version(7)) == join_decision::kServe));
  gate.NoteHello(HelloOf("a", 9, 9, 9));
  BOOST_TEST(
      (gate.Decide(start + seconds{6}, Version(7)) == join_decision::kServe));
  BOOST_TEST(gate.LateVersionReports() == 1U);
}

BOOST_AUTO_TEST_CASE(WaitRestartsAfterAPause) {
  const time_point start{seconds{100}};
  join_gate gate({.join_wait = seconds{5}, .enough_peers = 3}, start);
  const time_point resumed_at = start + seconds{60};
  gate.AfterPause(resumed_at);
  BOOST_TEST((gate.Decide(resumed_at, Version(7)) == join_decision::kWait));
  BOOST_TEST((gate.Decide(resumed_at + seconds{5}, Version(7)) ==
              join_decision::kServe));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
