#include <boost/test/unit_test.hpp>

#include "Tests/LibConfig/folder_builder.h"

namespace wagtailmount {

using testing::Describe;
using testing::folder;
using testing::Publish;

namespace {

const folder kTwoTeams{{"10-collections.json", R"({
      // The ledger and its routes.
      "team": "collections",
      "services": {"ledger": {"slots": 20, "may_override": ["platform"]}},
      "resources": {"careful": {"kind": "retry_policy", "attempts": 2}},
      "routes": {
        "lookup": {"match": {"path_prefix": "/ledger", "methods": ["GET"]},
                   "service": "ledger", "retry": "careful"},
        "post": {"match": {"path_prefix": "/ledger", "methods": ["POST"]},
                 "service": "ledger", "idempotent": "never"}}
    })"},
                       {"20-platform.json", R"({
      "team": "platform",
      "services": {"ledger": {"slots": 30, "connections": 130}}
    })"}};

std::shared_ptr<const configuration> Accept(
    const folder& files, const configuration* previous = nullptr) {
  const auto accepted = AcceptFolder(7, Publish(files), previous);
  if (!accepted.has_value()) {
    BOOST_FAIL(Describe(accepted.error()));
  }
  return *accepted;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(acceptance_suite)

BOOST_AUTO_TEST_CASE(LaterFileReplacesTheWholeEntry) {
  const auto accepted = Accept(kTwoTeams);
  const auto ledger = accepted->FindService("ledger");
  BOOST_REQUIRE(ledger != nullptr);
  BOOST_TEST(ledger->limits.slots == 30U);
  BOOST_TEST(ledger->team == "collections");
  BOOST_TEST(accepted->Routes().size() == 2U);
  BOOST_TEST(accepted->Version().revision == 7U);
  BOOST_TEST(
      (accepted->Version().content == DigestOfManifest(accepted->Manifest())));
}

BOOST_AUTO_TEST_CASE(RoutesResolveTheirReferences) {
  const auto accepted = Accept(kTwoTeams);
  const route* lookup = accepted->FindRoute("any.host:80", "/ledger/7", "GET");
  BOOST_REQUIRE(lookup != nullptr);
  BOOST_TEST(lookup->name == "lookup");
  BOOST_TEST(lookup->target == accepted->FindService("ledger"));
  BOOST_TEST(lookup->retry->attempts == 2U);
  const route* post = accepted->FindRoute("", "/ledger", "POST");
  BOOST_REQUIRE(post != nullptr);
  BOOST_TEST(post->retry != nullptr);
  BOOST_TEST((post->repeatable == idempotency::kNever));
  BOOST_TEST(accepted->FindRoute("", "/ledgers", "GET") == nullptr);
  BOOST_TEST(accepted->FindRoute("", "/ledger", "PUT") == nullptr);
}

BOOST_AUTO_TEST_CASE(RemovingAServiceRequiresRemovingItsRoutes) {
  folder files = kTwoTeams;
  files["30-collections.json"] =
      R"({"team": "collections", "services": {"ledger": null}})";
  const auto refused = AcceptFolder(7, Publish(files), nullptr);
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST(Describe(refused.error()) ==
             "10-collections.json|$.routes.lookup.service|there is no service "
             "named \"ledger\"\n"
             "10-collections.json|$.routes.post.service|there is no service "
             "named \"ledger\"\n");
  files["30-collections.json"] =
      R"({"team": "collections", "services": {"ledger": null},
          "routes": {"lookup": null, "post": null}})";
  BOOST_TEST(Accept(files)->Services().empty());
}

BOOST_AUTO_TEST_CASE(UnchangedEntriesReuseThePreviousObjects) {
  const auto before = Accept(kTwoTeams);
  folder files = kTwoTeams;
  files["15-case.json"] = R"({"team": "cases", "services": {"casefile": {}},
    "routes": {"case": {"match": {"path_prefix": "/case"},
                        "service": "casefile"}}})";
  files["20-platform.json"] += "// Only a comment is new.\n";
  const auto after = Accept(files, before.get());
  BOOST_TEST(after->FindService("ledger") == before->FindService("ledger"));
  BOOST_TEST(after->FindRoute("", "/ledger", "GET") ==
             before->FindRoute("", "/ledger", "GET"));
  BOOST_TEST(after->FindRoute("", "/case/1", "GET")->name == "case");
}

BOOST_AUTO_TEST_CASE(RoutesUseTheChangedService) {
  const auto before = Accept(kTwoTeams);
  folder files = kTwoTeams;
  files.erase("20-platform.json");
  const auto after = Accept(files, before.get());
  BOOST_TEST(after->FindRoute("", "/ledger", "GET")->target->limits.slots ==
             20U);
  BOOST_TEST(after->FindRoute("", "/ledger", "GET")->target ==
             after->FindService("ledger"));
}

BOOST_AUTO_TEST_CASE(ContentThatDoesNotMatchItsDigestIsRefused) {
  const auto before = Accept(kTwoTeams);
  auto files = Publish(kTwoTeams);
  files[1].content = std::make_shared<const std::string>("{}");
  for (const configuration* previous :
       {static_cast<const configuration*>(nullptr), before.get()}) {
    const auto refused = AcceptFolder(8, files, previous);
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST(Describe(refused.error()) ==
               "20-platform.json||the content does not match its digest\n");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
