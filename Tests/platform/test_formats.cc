#include <boost/test/unit_test.hpp>

#include "platform/configuration_format.h"
#include "platform/store_answers.h"
#include "platform/upstream_format.h"

using std::chrono::milliseconds;
using namespace wagtailmount;            // NOLINT(google-build-using-namespace)
using namespace wagtailmount::platform;  // NOLINT(google-build-using-namespace)

namespace {

catalog_item ItemOf(std::string key, std::string content) {
  return {std::move(key),
          5,
          4,
          false,
          std::make_shared<const std::string>(std::move(content)),
          0};
}

struct refused_text {
  const char* name;
  std::string text;
  const char* reason;
};

const std::string kUpstream =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"hall","config-version":"v1",)"
    R"("slots":18,"state":"ready","cold-remaining":"1.5s","seq":4})";

const std::string kConfiguration =
    R"({"config-version":"r7","limits":{"max-header-bytes":16384,"max-body-bytes":1000,)"
    R"("header-timeout":"3000ms","idle-timeout":"15s"},"listeners":[{"host":"A.example",)"
    R"("rules":[{"name":"r-1","route-kind":"safe","target-latency":"500ms","priority":2,)"
    R"("match":{"prefix":"/a/"},"action":{"traffic-split":[{"service":"s1","weight":90},)"
    R"({"service":"s2","weight":10}],"timeout":"1500ms","max-attempts":2}},)"
    R"({"name":"r-2","route-kind":"unsafe","target-latency":"600ms","priority":1,)"
    R"("match":{"prefix":"/a/b/"},"action":{"service":"s2","timeout":"2s","max-attempts":1}}]}],)"
    R"("clusters":[{"name":"s1","health-path":"/healthz","max-connections":130},)"
    R"({"name":"s2","health-path":"/healthz","max-connections":7}]})";

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

void CheckRefused(const result<void>& read, const refused_text& refused) {
  BOOST_REQUIRE_MESSAGE(!read, std::string(refused.name) + " was taken");
  BOOST_TEST(read.error().message.find(refused.reason) != std::string::npos,
             refused.name << ": " << read.error().message);
}

template <typename T>
result<void> WithoutValue(const result<T>& read) {
  if (!read) {
    return tl::unexpected(read.error());
  }
  return {};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(formats_suite)

BOOST_AUTO_TEST_CASE(AnUpstreamIsReadIntoItsRecord) {
  const auto read = ReadUpstream(ItemOf("servers/i-7f", kUpstream));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->id == "i-7f");
  BOOST_TEST(read->service == "s1");
  BOOST_TEST(read->failure_domain == "hall");
  BOOST_TEST(read->backend_server.ToText() == "10.0.0.9:8080");
  BOOST_TEST(read->slots == 18U);
  BOOST_TEST(!read->is_leaving);
  BOOST_TEST((read->cold_remaining == milliseconds{1'500}));
}

// Guards against a configuration that is refused, or an upstream that isn't
// used, because a figure is written with a fraction.
BOOST_AUTO_TEST_CASE(FiguresMayBeWrittenAsFractions) {
  const auto weighted = ReadConfiguration(ItemOf(
      "op/config",
      Replaced(Replaced(kConfiguration, ":90}", ":90.5}"), ":10}", ":9.5}")));
  BOOST_REQUIRE(weighted.has_value());
  const auto split = (*weighted)->FindRoute("a.example:80", "/a/x", "GET");
  BOOST_REQUIRE(split != nullptr);
  BOOST_TEST(split->parts[0].weight == 90.5);
  BOOST_TEST(split->parts[1].weight == 9.5);
  const auto read = ReadUpstream(
      ItemOf("servers/i-7f", Replaced(kUpstream, ":18,", ":18.0,")));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->slots == 18U);
}

BOOST_AUTO_TEST_CASE(AnUnreadableUpstreamIsRefusedWithItsReason) {
  const refused_text table[] = {
      {"no JSON", "ready", "no JSON object"},
      {"a list in lists", std::string(1'000'000, '['), "larger"},
      {"a deep list", std::string(10'000, '['), "nested too deeply"},
      {"a deep entry", Replaced(kUpstream, "4}", std::string(40, '[') + "]}"),
       "nested too deeply"},
      {"a long text", Replaced(kUpstream, "10.0.0.9", std::string(20'000, '1')),
       "larger"},
      {"a number out of range", Replaced(kUpstream, "18", "1e400"),
       "no JSON object"},
      {"a large number", Replaced(kUpstream, "18", "1e300"), "whole number"},
      {"a long number", Replaced(kUpstream, "18", "99999999999999999999999"),
       "whole number"},
      {"a port out of range", Replaced(kUpstream, ":8080", ":80800"),
       "not an IP address"},
      {"a long port", Replaced(kUpstream, ":8080", ":99999999999999999999"),
       "not an IP address"},
      {"a list", "[]", "no JSON object"},
      {"no service", Replaced(kUpstream, "\"service\":\"s1\",", ""), "service"},
      {"slots as text", Replaced(kUpstream, "18", "\"18\""), "slots"},
      {"no slots", Replaced(kUpstream, "18", "0"), "slots"},
      {"a host name", Replaced(kUpstream, "10.0.0.9", "hall"), "address"},
      {"no port", Replaced(kUpstream, ":8080", ""), "address"},
      {"foreign state", Replaced(kUpstream, "ready", "asleep"), "state"},
      {"time without unit", Replaced(kUpstream, "1.5s", "15"),
       "cold-remaining"},
      {"negative time", Replaced(kUpstream, "1.5s", "-1s"), "cold-remaining"},
      {"no zone", Replaced(kUpstream, "\"zone\":\"hall\",", ""), "zone"},
  };
  for (const refused_text& each : table) {
    CheckRefused(WithoutValue(ReadUpstream(ItemOf("servers/i-1", each.text))),
                 each);
  }
  BOOST_TEST(!ReadUpstream(ItemOf("servers/", kUpstream)));
}

BOOST_AUTO_TEST_CASE(AKindTellsWhetherARequestMayBeRepeated) {
  struct kind_case {
    const char* kind;
    idempotency repeatable;
    std::size_t warnings;
  };
  const kind_case table[] = {{"safe", idempotency::kAlways, 0},
                             {"download", idempotency::kAlways, 0},
                             {"unsafe", idempotency::kNever, 0},
                             {"upload", idempotency::kNever, 0},
                             {"batch", idempotency::kNever, 1}};
  for (const kind_case& each : table) {
    const auto read = ReadConfiguration(
        ItemOf("op/config", Replaced(kConfiguration, "\"safe\"",
                                     "\"" + std::string(each.kind) + "\"")));
    BOOST_REQUIRE(read.has_value());
    const route* const found = (*read)->FindRoute("a.example", "/a/x", "GET");
    BOOST_REQUIRE(found != nullptr);
    BOOST_TEST((found->repeatable == each.repeatable), each.kind);
    BOOST_TEST((*read)->Warnings().size() == each.warnings, each.kind);
  }
}

BOOST_AUTO_TEST_CASE(AColdStartAndABirthAreRead) {
  const auto read = ReadConfiguration(
      ItemOf("op/config", Replaced(kConfiguration, "\"max-connections\":",
                                   "\"cold-start\":\"3s\",\"cold-per-s\":16.0,"
                                   "\"max-connections\":")));
  BOOST_REQUIRE_MESSAGE(read.has_value(), read.error().message);
  const cold_start_policy cold = (*read)->Services().front()->limits.cold_start;
  BOOST_TEST((cold.period == milliseconds{3'000}));
  BOOST_TEST(cold.requests_a_second == 16.0);
  const auto started = ReadUpstream(ItemOf(
      "servers/i-1",
      Replaced(kUpstream, "\"seq\":", "\"born\":1769210454007,\"seq\":")));
  BOOST_REQUIRE(started.has_value());
  BOOST_TEST(started->born == 1'769'210'454'007);
  BOOST_TEST(!ReadUpstream(
      ItemOf("servers/i-1",
             Replaced(kUpstream, "\"seq\":", "\"born\":\"today\",\"seq\":"))));
}

BOOST_AUTO_TEST_CASE(AConfigurationIsReadWhole) {
  const auto read = ReadConfiguration(ItemOf("op/config", kConfiguration));
  BOOST_REQUIRE_MESSAGE(read.has_value(), read.error().message);
  const configuration& held = **read;
  BOOST_TEST(held.Version().revision == 7U);
  BOOST_TEST((held.Limits().idle_timeout == milliseconds{15'000}));
  BOOST_TEST(held.Limits().body_bytes == 1'000U);
  const route* const split = held.FindRoute("a.example:80", "/a/x", "GET");
  BOOST_REQUIRE(split != nullptr);
  BOOST_TEST(split->name == "r-1");
  BOOST_TEST(split->parts.size() == 2U);
  BOOST_TEST(split->parts[0].weight == 90.0);
  BOOST_TEST((split->latency_objective == milliseconds{500}));
  BOOST_TEST((split->deadline == milliseconds{1'500}));
  BOOST_TEST((split->repeatable == idempotency::kAlways));
  const route* const longest = held.FindRoute("a.example", "/a/b/c", "POST");
  BOOST_REQUIRE(longest != nullptr);
  BOOST_TEST(longest->name == "r-2");
  BOOST_TEST((longest->repeatable == idempotency::kNever));
  BOOST_TEST(longest->target->limits.connections == 7U);
}

BOOST_AUTO_TEST_CASE(APrefixMatchesOnlyWhatItBegins) {
  const auto read = ReadConfiguration(ItemOf("op/config", kConfiguration));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read)->FindRoute("a.example", "/a", "GET") == nullptr);
  BOOST_TEST((*read)->FindRoute("a.example", "/ab/c", "GET") == nullptr);
  BOOST_TEST((*read)->FindRoute("a.example", "/a/", "GET") != nullptr);
  // The longest prefix that begins the path, not one that equals it.
  BOOST_TEST((*read)->FindRoute("a.example", "/a/b", "GET")->name == "r-1");
  BOOST_TEST((*read)->FindRoute("b.example", "/a/x", "GET") == nullptr);
}

BOOST_AUTO_TEST_CASE(AFaultyConfigurationIsRefusedWhole) {
  const refused_text table[] = {
      {"cut short", kConfiguration.substr(0, 200), "no JSON object"},
      {"no version", Replaced(kConfiguration, "\"r7\"", "\"7\""),
       "config-version"},
      {"version nought", Replaced(kConfiguration, "\"r7\"", "\"r0\""),
       "config-version"},
      {"no limits", Replaced(kConfiguration, "\"limits\"", "\"other\""),
       "limits"},
      {"unknown service",
       Replaced(kConfiguration, "\"action\":{\"service\":\"s2\"",
                "\"action\":{\"service\":\"s9\""),
       "s9"},
      {"unknown part",
       Replaced(kConfiguration, "{\"service\":\"s2\",\"weight\":10}",
                "{\"service\":\"s9\",\"weight\":10}"),
       "s9"},
      {"bare prefix", Replaced(kConfiguration, "\"/a/\"", "\"a\""), "prefix"},
      {"no timeout", Replaced(kConfiguration, "\"timeout\":\"2s\",", ""),
       "timeout"},
      {"no attempts", Replaced(kConfiguration, ",\"max-attempts\":1", ""),
       "max-attempts"},
      {"attempts of another type",
       Replaced(kConfiguration, "\"max-attempts\":1", "\"max-attempts\":\"1\""),
       "max-attempts"},
      {"listeners of another type",
       Replaced(kConfiguration, "\"listeners\":[", "\"listeners\":5,\"x\":["),
       "listeners"},
  };
  for (const refused_text& each : table) {
    CheckRefused(
        WithoutValue(ReadConfiguration(ItemOf("op/config", each.text))), each);
  }
}

BOOST_AUTO_TEST_CASE(PagesAndChangesOfTheStoreAreRead) {
  const auto page = ParsePage(
      R"({"items":[{"key":"a","value":"bm9kZS0x","revision":4,"created":3,"lease":0}],)"
      R"("has-more":true,"at-rev":9})");
  BOOST_REQUIRE(page.has_value());
  BOOST_TEST(page->revision == 9U);
  BOOST_TEST(page->has_more);
  BOOST_TEST(*page->items.at(0).content == "node-1");
  BOOST_TEST(page->items.at(0).created == 3U);
  const auto changes = ParseChanges(
      R"({"events":[{"key":"b","revision":7,"removed":true},)"
      R"({"key":"c","value":"YQ==","revision":8,"created":8}],"at-rev":8})");
  BOOST_REQUIRE(changes.has_value());
  BOOST_TEST(changes->items.at(0).is_removed);
  BOOST_TEST(*changes->items.at(1).content == "a");
}

BOOST_AUTO_TEST_CASE(AnswersThatAreNotTheStoresAreRefused) {
  const refused_text table[] = {
      {"no JSON", "<html>", "no JSON"},
      {"no revision", R"({"items":[]})", "at-rev"},
      {"items of another type", R"({"items":{},"at-rev":1})", "items"},
      {"item without key", R"({"items":[{"revision":1}],"at-rev":1})", "key"},
      {"item without value",
       R"({"items":[{"key":"a","revision":1}],"at-rev":1})", "value"},
      {"no base64",
       R"({"items":[{"key":"a","revision":1,"value":"*"}],"at-rev":1})",
       "base64"},
  };
  for (const refused_text& each : table) {
    CheckRefused(WithoutValue(ParsePage(each.text)), each);
  }
}

BOOST_AUTO_TEST_SUITE_END()
