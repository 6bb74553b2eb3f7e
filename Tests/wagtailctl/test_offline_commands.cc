#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "Tests/wagtailctl/command_runner.h"

namespace wagtailmount {

using testing::Run;
using testing::scratch_folder;

namespace {

const std::filesystem::path kExamples =
    std::filesystem::path(WAGTAILMOUNT_SOURCE_FOLDER) / "examples";

}  // namespace

BOOST_AUTO_TEST_SUITE(offline_commands)

BOOST_AUTO_TEST_CASE(ShippedExamplesAreAccepted) {
  for (const char* deployment : {"qureshi", "swan-coast"}) {
    const auto ran =
        Run({"check", (kExamples / deployment / "config").string()});
    BOOST_TEST(ran.status == 0, ran.out << ran.err);
    BOOST_TEST(ran.out.starts_with("accepted "));
  }
}

BOOST_AUTO_TEST_CASE(BrokenExampleIsRefusedWithEveryReason) {
  const scratch_folder folder;
  folder.CopyFrom(kExamples / "qureshi" / "config");
  folder.CopyFrom(kExamples / "broken");
  const auto ran = Run({"check", folder.Name(), "--json"});
  BOOST_TEST(ran.status == 1);
  const auto answer = nlohmann::json::parse(ran.out);
  BOOST_TEST(answer["accepted"] == false);
  BOOST_TEST(answer["reasons"].size() == 4U);
  BOOST_TEST(answer["reasons"][0]["file"] == "50-broken.json");
  BOOST_TEST(answer["reasons"][1]["path"] == "$.routes.receipts.service");
  BOOST_TEST(Run({"check", folder.Name()}).out.find("receipt-store") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(MisuseAndHelpHaveTheirStatus) {
  BOOST_TEST(Run({}).status == 2);
  BOOST_TEST(Run({"chekc"}).err ==
             "wagtailctl: there is no command \"chekc\"; see wagtailctl "
             "--help\n");
  BOOST_TEST(Run({"check"}).status == 2);
  BOOST_TEST(Run({"check"}).err.starts_with("wagtailctl: FOLDER is missing\n"));
  BOOST_TEST(Run({"check", "--colour", "x"}).status == 2);
  BOOST_TEST(Run({"check", "a", "b"}).status == 2);
  BOOST_TEST(Run({"check", "/does/not/exist"}).status == 2);
  BOOST_TEST(Run({"--help"}).status == 0);
  for (const auto& each : Commands()) {
    const auto ran = Run({std::string(each.name), "--help"});
    BOOST_TEST(ran.status == 0);
    BOOST_TEST(ran.out.find("Exit status") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(DiffTellsWhatIsInForceDifferently) {
  const scratch_folder folder;
  const std::string shipped = (kExamples / "qureshi" / "config").string();
  folder.CopyFrom(shipped);
  BOOST_TEST(Run({"diff", shipped, folder.Name()}).out ==
             "no service and no route differs\n");
  folder.Write("50-more.json", R"({"team": "platform", "services": {
      "ledger": {"slots": 10, "connections": 130, "queue": 40,
                 "level": {"latency_ms": 300}}, "new": {}},
      "routes": {"old": {"match": {"path_prefix": "/x"}, "service": "new"}}})");
  const auto ran = Run({"diff", shipped, folder.Name()});
  BOOST_TEST(ran.status == 0);
  BOOST_TEST(
      ran.out.starts_with("changed services.ledger\n"
                          "  slots: \"20\" -> \"10\"\nadded services.new\n"));
  BOOST_TEST(ran.out.find("added routes.old\n") != std::string::npos);
  const auto as_json = nlohmann::json::parse(
      Run({"diff", folder.Name(), shipped, "--json"}).out);
  BOOST_TEST(as_json["differences"][1]["change"] == "removed");
  folder.Write("60-bad.json", "{");
  BOOST_TEST(Run({"diff", shipped, folder.Name()}).status == 1);
  BOOST_TEST(Run({"diff", shipped, "/does/not/exist"}).status == 2);
}

BOOST_AUTO_TEST_CASE(AnEvacuationIsCheckedAndShownAsADifference) {
  const scratch_folder before;
  before.CopyFrom(kExamples / "qureshi" / "config");
  const scratch_folder after;
  after.CopyFrom(kExamples / "qureshi" / "config");
  after.Write("50-more.json",
              R"({"team": "platform", "evacuations": {"fsd-hall": {}}})");
  const auto checked = Run({"check", after.Name()});
  BOOST_TEST(checked.status == 0, checked.out);
  BOOST_TEST(checked.out.ends_with("evacuates failure domain fsd-hall\n"));
  const auto compared = Run({"diff", before.Name(), after.Name()});
  BOOST_TEST(compared.out.starts_with("added evacuations.fsd-hall\n"),
             compared.out);
  const auto reversed = Run({"diff", after.Name(), before.Name()});
  BOOST_TEST(reversed.out.starts_with("removed evacuations.fsd-hall\n"),
             reversed.out);
  after.Write("50-more.json",
              R"({"team": "platform", "evacuations": {"fsd-hall": {"x": 1}}})");
  const auto refused = Run({"check", after.Name()});
  BOOST_TEST(refused.status == 1);
  BOOST_TEST(refused.out.find("$.evacuations.fsd-hall") != std::string::npos,
             refused.out);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
