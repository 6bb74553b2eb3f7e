#include <boost/test/unit_test.hpp>
#include <vector>

#include "Tests/LibConfig/folder_builder.h"

namespace wagtailmount {

using testing::Describe;
using testing::folder;
using testing::Publish;

namespace {

/// A malformed file, loaded together with a valid one, and the refusal reasons
/// expected for it. Each is the start of a "path|reason" text; all must occur.
struct malformed_case {
  const char* title;
  std::string content;
  std::vector<std::string> reasons;
};

const char* const kValidFile = R"({
  "team": "a",
  "services": {"ledger": {"may_override": ["b"]}},
  "resources": {"twice": {"kind": "retry_policy", "attempts": 2},
                "fields": {"kind": "header_set", "fields": {"X-A": "1"}}},
  "routes": {"lookup": {"match": {"path_prefix": "/ledger"},
                        "service": "ledger"},
             "post": {"match": {"host": "h", "methods": ["POST", "PUT"]},
                      "service": "ledger"}}
})";

std::string Section(const std::string& section, const std::string& entry) {
  return R"({"team": "b", ")" + section + R"(": {"x": )" + entry + "}}";
}

std::string Service(const std::string& members) {
  return Section("services", "{" + members + "}");
}

std::string Resource(const std::string& members) {
  return Section("resources", "{" + members + "}");
}

std::string Field(const std::string& field) {
  return Resource(R"("kind": "header_set", "fields": {)" + field + "}");
}

std::string Route(const std::string& members) {
  return Section("routes", R"({"service": "ledger", )" + members + "}");
}

std::string Match(const std::string& members) {
  return Route(R"("match": {)" + members + "}");
}

std::string Nested(std::size_t levels) {
  return R"({"team": )" + std::string(levels, '[') + std::string(levels, ']') +
         "}";
}

const std::vector<malformed_case> kCases{
    {"empty", "", {"line 1, column 1|the text is not JSON"}},
    {"broken syntax",
     "{\n  \"team\": ,\n}",
     {"line 2, column 11|the text is not JSON"}},
    {"unterminated comment",
     "{ /* ",
     {"line 1, column 6|the text is not JSON"}},
    {"text after the end",
     R"({"team": "b"} {})",
     {"line 1, column 15|the text is not JSON"}},
    {"NUL hides the rest",
     std::string("{\"team\": \"b\"}\0{", 15),
     {"line 1, column 14|a control character"}},
    {"not UTF-8 in a text",
     "{\"team\": \"\xff\"}",
     {"line 1, column 11|the text is not UTF-8"}},
    {"not UTF-8 in a comment",
     "// \xc3\n{}",
     {"line 1, column 4|the text is not UTF-8"}},
    {"overlong UTF-8",
     "// \xc0\xaf\n{}",
     {"line 1, column 4|the text is not UTF-8"}},
    {"deep nesting",
     Nested(100'000),
     {"$.team[]", "[][]|is nested more than 16 levels"}},
    {"duplicate key",
     R"({"team": "b", "services": {"x": {}, "x": {}}})",
     {"$.services.x|is given twice"}},
    {"number out of range of every type",
     Service(R"("slots": 1e999)"),
     {"|the number is out of range"}},
    {"not an object", "[]", {"$|must be an object"}},
    {"no team", "{}", {"$.team|is missing"}},
    {"invalid team name",
     R"({"team": "b c"})",
     {"$.team|may hold only letters, digits"}},
    {"unknown key",
     R"({"team": "b", "service": {}})",
     {"$.service|is not a known key"}},
    {"section of another type",
     R"({"team": "b", "services": []})",
     {"$.services|must be an object"}},
    {"entry of another type",
     Section("services", "1"),
     {"$.services.x|must be an object, or null"}},
    {"invalid entry name",
     R"({"team": "b", "services": {"a/b": {}}})",
     {"$.services.a/b|the entry's name may hold only letters"}},
    {"empty entry name",
     R"({"team": "b", "services": {"": {}}})",
     {"$.services.|the entry's name must have 1 to 100"}},
    {"unknown key of a service",
     Service(R"("slot": 1)"),
     {"$.services.x.slot|is not a known key"}},
    {"wrong type",
     Service(R"("slots": "20")"),
     {"$.services.x.slots|must be a whole number from 1 to 10000"}},
    {"negative",
     Service(R"("slots": -1)"),
     {"$.services.x.slots|must be a whole number from 1 to 10000"}},
    {"fractional number of slots",
     Service(R"("slots": 1.5)"),
     {"$.services.x.slots|must be a whole number from 1 to 10000"}},
    {"out of range",
     Service(R"("connections": 60001)"),
     {"$.services.x.connections|must be a whole number from 1 to 60000"}},
    {"fewer connections than slots",
     Service(R"("slots": 20, "connections": 19)"),
     {"$.services.x.connections|must be at least \"slots\""}},
    {"service level without a budget",
     Service(R"("level": {"success_share": 1})"),
     {"$.services.x.level.success_share|must be a number from 0.5"}},
    {"unknown key of a service level",
     Service(R"("level": {"latency": 1})"),
     {"$.services.x.level.latency|is not a known key"}},
    {"may_override of another type",
     Service(R"("may_override": "a")"),
     {"$.services.x.may_override|must be an array"}},
    {"unknown kind of resource",
     Resource(R"("kind": "retries", "attempts": 1)"),
     {"$.resources.x.kind|must be \"retry_policy\" or \"header_set\""}},
    {"no attempt",
     Resource(R"("kind": "retry_policy", "attempts": 0)"),
     {"$.resources.x.attempts|must be a whole number from 1 to 10"}},
    {"budget above all requests",
     Resource(R"("kind": "retry_policy", "budget_share": 1.1)"),
     {"$.resources.x.budget_share|must be a number from 0"}},
    {"no fields", Field(""), {"$.resources.x.fields|must hold at least one"}},
    {"field Host",
     Field(R"("Host": "a")"),
     {"$.resources.x.fields.Host|frames or directs the message"}},
    {"field Content-Length",
     Field(R"("content-length": "1")"),
     {"$.resources.x.fields.content-length|frames or directs"}},
    {"field Transfer-Encoding",
     Field(R"("Transfer-Encoding": "chunked")"),
     {"$.resources.x.fields.Transfer-Encoding|frames or directs"}},
    {"field Connection",
     Field(R"("Connection": "close")"),
     {"$.resources.x.fields.Connection|frames or directs"}},
    {"reserved field",
     Field(R"("Wagtailmount-Hop-Vm": "a")"),
     {"$.resources.x.fields.Wagtailmount-Hop-Vm|is kept for"}},
    {"field name with a line end",
     Field(R"("A\r\nB": "a")"),
     {"$.resources.x.fields.A\\x0d\\x0aB|is not the name of a header"}},
    {"field value with a line end",
     Field(R"("A": "a\r\nHost: b")"),
     {"$.resources.x.fields.A|may hold only printable ASCII"}},
    {"field value of another type",
     Field(R"("A": 1)"),
     {"$.resources.x.fields.A|must be a text"}},
    {"field names differing only in case",
     Field(R"("A": "1", "a": "2")"),
     {"$.resources.x.fields.a|is given twice"}},
    {"no match", Route(R"("retry": "twice")"), {"$.routes.x.match|is missing"}},
    {"unknown key of a match",
     Match(R"("path": "/")"),
     {"$.routes.x.match.path|is not a known key"}},
    {"host with port",
     Match(R"("host": "a:80")"),
     {"$.routes.x.match.host|must be a host name without a port"}},
    {"host in upper case",
     Match(R"("host": "A")"),
     {"$.routes.x.match.host|must be a host name in lower case"}},
    {"prefix without slash",
     Match(R"("path_prefix": "a")"),
     {"$.routes.x.match.path_prefix|must begin with"}},
    {"prefix with slash at the end",
     Match(R"("path_prefix": "/a/")"),
     {"$.routes.x.match.path_prefix|must hold whole segments"}},
    {"prefix with a parent segment",
     Match(R"("path_prefix": "/a/../b")"),
     {"$.routes.x.match.path_prefix|must hold whole segments"}},
    {"prefix with query",
     Match(R"("path_prefix": "/a?b")"),
     {"$.routes.x.match.path_prefix|may hold only characters"}},
    {"unknown method",
     Match(R"("methods": ["get"])"),
     {"$.routes.x.match.methods|may hold only DELETE"}},
    {"duplicate method",
     Match(R"("methods": ["GET", "GET"])"),
     {"$.routes.x.match.methods|holds a method twice"}},
    {"unknown priority",
     Route(R"("match": {}, "priority": "high")"),
     {"$.routes.x.priority|must be one of \"interactive\""}},
    {"unknown idempotency",
     Route(R"("match": {}, "idempotent": true)"),
     {"$.routes.x.idempotent|must be a text"}},
    {"no time",
     Route(R"("match": {}, "deadline_ms": 0)"),
     {"$.routes.x.deadline_ms|must be a whole number from 1"}},
    {"service missing",
     Section("routes", R"({"match": {}, "service": "casefile"})"),
     {"$.routes.x.service|there is no service named \"casefile\""}},
    {"retry policy missing",
     Route(R"("match": {}, "retry": "often")"),
     {"$.routes.x.retry|there is no resource of kind \"retry_policy\" named "
      "\"often\""}},
    {"resource of the other kind",
     Route(R"("match": {}, "headers": "twice")"),
     {"$.routes.x.headers|there is no resource of kind \"header_set\" named "
      "\"twice\""}},
    {"same match as another route",
     Match(R"("path_prefix": "/ledger")"),
     {"$.routes.x.match|matches the same requests as route \"lookup\" of file "
      "\"10-sound.json\""}},
    {"a match that overlaps in one method",
     Match(R"("host": "h", "methods": ["GET", "PUT"])"),
     {"$.routes.x.match|matches the same requests as route \"post\""}},
    {"override without permission",
     R"({"team": "c", "services": {"ledger": {}}})",
     {"$.services.ledger|belongs to team \"a\" since file \"10-sound.json\", "
      "and team \"c\" is not in its \"may_override\""}},
    {"removal without permission",
     R"({"team": "b", "routes": {"lookup": null}})",
     {"$.routes.lookup|belongs to team \"a\""}},
    {"override that extends its own permission",
     R"({"team": "b", "services": {"ledger": {"may_override": ["c"]}}})",
     {"$.services.ledger|only team \"a\", the entry's owner, may state"}},
    {"removal of an undeclared entry",
     R"({"team": "b", "services": {"x": null}})",
     {"$.services.x|removes an entry that no earlier file declares"}},
    {"several reasons at once",
     R"({"team": "b", "more": 1, "services": {"x": {"slots": 0, "queue": -1}},
         "routes": {"y": {"match": {}, "service": "z"}}})",
     {"$.more|", "$.services.x.slots|", "$.services.x.queue|",
      "$.routes.y.service|"}},
};

/// Returns the refusal reasons for a folder of a valid file and `content`, or
/// "accepted".
std::string RefusalReasons(const std::string& content,
                           const configuration* previous) {
  const auto result = AcceptFolder(
      2, Publish({{"10-sound.json", kValidFile}, {"20-bad.json", content}}),
      previous);
  return result.has_value() ? "accepted" : Describe(result.error());
}

std::string FolderRefusalReasons(const std::vector<config_file>& files) {
  const auto result = AcceptFolder(2, files, nullptr);
  return result.has_value() ? "accepted" : Describe(result.error());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(malformed_configuration)

BOOST_AUTO_TEST_CASE(EachFaultIsReportedWithItsReason) {
  const auto sound =
      AcceptFolder(1, Publish({{"10-sound.json", kValidFile}}), nullptr);
  BOOST_REQUIRE(sound.has_value());
  for (const auto& each : kCases) {
    BOOST_TEST_CONTEXT(each.title) {
      const std::string reported = RefusalReasons(each.content, nullptr);
      for (const auto& reason : each.reasons) {
        BOOST_TEST(reported.find(reason) != std::string::npos,
                   "\"" << reason << "\" not found in:\n"
                        << reported);
      }
      BOOST_TEST(reported.starts_with("20-bad.json|"));
      BOOST_TEST(RefusalReasons(each.content, sound->get()) == reported);
    }
  }
}

BOOST_AUTO_TEST_CASE(SingleFaultGivesASingleReason) {
  BOOST_TEST(RefusalReasons(Service(R"("slots": 0)"), nullptr) ==
             "20-bad.json|$.services.x.slots|must be a whole number from 1 to "
             "10000\n");
  BOOST_TEST(RefusalReasons("{", nullptr) ==
             "20-bad.json|line 1, column 2|the text is not JSON with "
             "comments\n");
}

BOOST_AUTO_TEST_CASE(FolderLevelFaultsAreRefused) {
  const std::string sound = R"({"team": "a"})";
  BOOST_TEST(FolderRefusalReasons({}) == "||the folder holds no file\n");
  BOOST_TEST(FolderRefusalReasons({Publish("a", sound), Publish("a", sound)}) ==
             "a||the folder holds this name twice\n");
  BOOST_TEST(FolderRefusalReasons({Publish("a b", sound)}) ==
             "a b||the file's name may hold only letters, digits, \".\", \"_\" "
             "and \"-\"\n");
  BOOST_TEST(FolderRefusalReasons({Publish("../\xff", sound)})
                 .starts_with("../\\xff||the file's name may hold only"));
  BOOST_TEST(FolderRefusalReasons({Publish("", sound)})
                 .starts_with("||the file's name must have 1 to 100"));
  const std::string large = sound + std::string(1'000'000, ' ');
  BOOST_TEST(FolderRefusalReasons({Publish("a", large)}) ==
             "a||the file has 1000013 bytes; the most are 1000000\n");
  BOOST_TEST(FolderRefusalReasons({{"a", nullptr, {}}}) ==
             "a||the content is missing\n");
  std::vector<config_file> many(17, Publish("", std::string(990'000, ' ')));
  for (std::size_t i = 0; i < many.size(); ++i) {
    many[i].name = "f" + std::to_string(i);
  }
  BOOST_TEST(FolderRefusalReasons(many) ==
             "||the folder holds 16830000 bytes; the most are 16000000\n");
}

BOOST_AUTO_TEST_CASE(LongRefusalIsTruncatedAndCountsOmittedReasons) {
  std::string services;
  for (int i = 0; i < 150; ++i) {
    services += (i == 0 ? "\"s" : ", \"s") + std::to_string(i) + "\": 1";
  }
  const auto result = AcceptFolder(
      1, Publish({{"a", R"({"team": "a", "services": {)" + services + "}}"}}),
      nullptr);
  BOOST_REQUIRE(!result.has_value());
  BOOST_TEST(result.error().reasons.size() == 101U);
  BOOST_TEST(result.error().reasons.back().reason ==
             "there are 50 more reasons");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
