#include <boost/test/unit_test.hpp>
#include <string>

#include "LibNode/settings.h"

namespace wagtailmount {

namespace {

constexpr std::string_view kCompleteSettings = R"({
  // The settings of one node.
  "vm": "fsd-1", "region": "pk-central", "failure_domain": "fsd-hall",
  "service": "ledger",
  "listen": {"caller": "127.0.0.1:7001", "hop": "127.0.0.1:7002",
             "peer": "127.0.0.1:7003", "admin": "127.0.0.1:7004"},
  "backend_server": {"address": "127.0.0.1:9001"},
  "platform": {"addresses": ["127.0.0.1:6000"], "calls_per_second": 2000,
               "expected_vms": 12},
  "seeds": ["127.0.0.1:7103"], "join_wait_ms": 1000
})";

struct settings_fault_case {
  std::string_view original;
  std::string_view replacement;
  std::string_view path;
  std::string_view reason;
};

constexpr settings_fault_case kFaultCases[] = {
    {R"("vm": "fsd-1",)", "", "$.vm", "is missing"},
    {R"("vm": "fsd-1",)", R"("vm": "",)", "$.vm", "must not be empty"},
    {R"("failure_domain": "fsd-hall",)", "", "$.failure_domain", "is missing"},
    {R"("caller": "127.0.0.1:7001")", R"("caller": "localhost:7001")",
     "$.listen.caller", "is not an IP address and port"},
    {R"("admin": "127.0.0.1:7004")", R"("admin": "127.0.0.1:70040")",
     "$.listen.admin", "is not an IP address and port"},
    {R"(, "hop": "127.0.0.1:7002")", "", "$.listen.hop", "is missing"},
    {R"("addresses": ["127.0.0.1:6000"])", R"("addresses": [])",
     "$.platform.addresses", "must name at least one address"},
    {R"("calls_per_second": 2000)", R"("calls_per_second": 0)",
     "$.platform.calls_per_second", "must be a number from 1"},
    {R"("calls_per_second": 2000,)", "", "$.platform.calls_per_second",
     "is missing"},
    {R"("seeds": [)", R"("retries": {"slack": -1}, "seeds": [)",
     "$.retries.slack", "must be a number from 0"},
    {R"("seeds": [)", R"("retries": {"share": "much"}, "seeds": [)",
     "$.retries.share", "must be a number from 0"},
    {R"("expected_vms": 12)", R"("expected_vms": "12")",
     "$.platform.expected_vms", "must be a whole number from 1"},
    {R"("join_wait_ms": 1000)", R"("join_wait_ms": 99999999)", "$.join_wait_ms",
     "must be a whole number from 0"},
    {R"("service": "ledger")", R"("servise": "ledger")", "$.servise",
     "is not a known key"},
    {R"("seeds": [)", R"("advertise": {"peer": "fsd:1"}, "seeds": [)",
     "$.advertise.peer", "is not an IP address and port"},
    {R"("seeds": [)", R"("advertise": {"admin": "127.0.0.1:1"}, "seeds": [)",
     "$.advertise.admin", "is not a known key"},
    {R"("seeds": ["127.0.0.1:7103"])", R"("seeds": [7103])", "$.seeds",
     "must hold only texts"},
    {R"("seeds": [)", R"("maximum_descriptors": -1, "seeds": [)",
     "$.maximum_descriptors", "must be a number from 0"},
    {R"("seeds": [)", R"("link_megabits_per_second": -1, "seeds": [)",
     "$.link_megabits_per_second", "must be a number from 0"},
    {R"("listen": {)", R"("listen": 3, "x": {)", "$.listen",
     "must be an object"},
    {R"("service": "ledger",)", R"("service" "ledger",)", "$", "line 4"},
};

std::string SettingsWithReplacement(const settings_fault_case& fault) {
  std::string text(kCompleteSettings);
  const auto position = text.find(fault.original);
  BOOST_REQUIRE(position != std::string::npos);
  return text.replace(position, fault.original.size(), fault.replacement);
}

bool ContainsFault(const std::vector<document_fault>& faults,
                   const settings_fault_case& expected) {
  for (const auto& fault : faults) {
    if (fault.path == expected.path &&
        fault.reason.find(expected.reason) != std::string::npos) {
      return true;
    }
  }
  return false;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_suite)

BOOST_AUTO_TEST_CASE(CompleteSettingsAreParsed) {
  const auto settings = ParseNodeSettings(kCompleteSettings);
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->vm == "fsd-1");
  BOOST_TEST(settings->hop.ToText() == "127.0.0.1:7002");
  BOOST_TEST(settings->join_wait.count() == 1000);
  BOOST_TEST(settings->drain_grace.count() == 30000);
}

BOOST_AUTO_TEST_CASE(AdvertisedAddressesDefaultToTheListenAddresses) {
  const auto plain = ParseNodeSettings(kCompleteSettings);
  BOOST_TEST(plain->advertised_hop.ToText() == "127.0.0.1:7002");
  BOOST_TEST(plain->advertised_peer.ToText() == "127.0.0.1:7003");
  const auto given = ParseNodeSettings(SettingsWithReplacement(
      {R"("seeds": [)", R"("advertise": {"peer": "127.0.0.9:1"}, "seeds": [)",
       "", ""}));
  BOOST_TEST(given->advertised_hop.ToText() == "127.0.0.1:7002");
  BOOST_TEST(given->advertised_peer.ToText() == "127.0.0.9:1");
}

// Guards against processes that end at every start because the platform states
// a bound as a fraction, or whether it holds but no figure.
BOOST_AUTO_TEST_CASE(FiguresAreTakenInEachFormOfThePlatform) {
  const auto parse = [](std::string_view retries) {
    const std::string added =
        R"("retries": {)" + std::string(retries) + R"(}, "seeds": [)";
    return ParseNodeSettings(
        SettingsWithReplacement({R"("seeds": [)", added, "", ""}));
  };
  const node_settings defaults;
  const auto fraction = parse(R"("share": "0.25", "slack": 56.5)");
  BOOST_REQUIRE(fraction.has_value());
  BOOST_TEST(fraction->retry_share == 0.25);
  BOOST_TEST(fraction->retry_slack == 56.5);
  const auto whole = parse(R"("share": 1, "slack": 64.0)");
  BOOST_REQUIRE(whole.has_value());
  BOOST_TEST(whole->retry_share == 1.0);
  BOOST_TEST(whole->retry_slack == 64.0);
  for (const auto* none : {R"("share": "", "slack": true)",
                           R"("share": "true", "slack": false)", ""}) {
    const auto without_figures = parse(none);
    BOOST_REQUIRE(without_figures.has_value());
    BOOST_TEST(without_figures->retry_share == defaults.retry_share);
    BOOST_TEST(without_figures->retry_slack == defaults.retry_slack);
  }
}

BOOST_AUTO_TEST_CASE(EachFaultIsReportedWithPathAndReason) {
  for (const auto& fault : kFaultCases) {
    BOOST_TEST_CONTEXT(fault.path << " " << fault.reason) {
      const auto settings = ParseNodeSettings(SettingsWithReplacement(fault));
      BOOST_REQUIRE(!settings.has_value());
      BOOST_TEST(ContainsFault(settings.error(), fault));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
