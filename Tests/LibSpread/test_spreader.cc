#include <boost/test/unit_test.hpp>

#include "Tests/LibSpread/spreader_bench.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::BadFolderAt;
using testing::bench;
using testing::BodiesOf;
using testing::FolderAt;
using testing::MakeFile;
using testing::ManifestOf;
using testing::VersionOf;

}  // namespace

BOOST_AUTO_TEST_SUITE(spreader_suite)

BOOST_AUTO_TEST_CASE(OnlyGreaterVersionsReplaceTheHeldOne) {
  bench at;
  at.Up("a");
  at.Read(5);
  at.Read(4);
  at.Read(5);
  at.Offer("a", 4, FolderAt(4));
  at.Give("a", 4, FolderAt(4));
  BOOST_TEST((at.versions == std::vector<std::uint64_t>{5}));
  BOOST_TEST(at.node.Counters().source_outdated == 1U);
  BOOST_TEST(at.CountSent<pull_message>("a") == 0U);
}

BOOST_AUTO_TEST_CASE(TwoContentsOfOneRevisionAreReportedAndOrdered) {
  const auto first = FolderAt(5);
  const auto second = FolderAt(6);
  const bool is_first_greater = VersionOf(5, first) > VersionOf(5, second);
  const auto& lesser = is_first_greater ? second : first;
  const auto& greater = is_first_greater ? first : second;
  bench at;
  at.Take(at.node.AcceptFromSource(at.now, 5, lesser));
  at.Take(at.node.AcceptFromSource(at.now, 5, greater));
  at.Take(at.node.AcceptFromSource(at.now, 5, lesser));
  BOOST_TEST(at.versions.size() == 2U);
  BOOST_TEST((at.node.HeldVersion() == VersionOf(5, greater)));
  BOOST_TEST(at.conflicts == 2);
}

BOOST_AUTO_TEST_CASE(RefusedVersionsArePassedOnOnceAndNeverPulledAgain) {
  bench at;
  at.Read(1);
  at.Up("a");
  at.Up("b");
  const auto bad = BadFolderAt(2);
  for (const std::string vm : {"a", "b"}) {
    at.Offer(vm, 2, bad);
    at.Give(vm, 2, bad);
  }
  at.Pass(seconds{10});
  BOOST_TEST((at.versions == std::vector<std::uint64_t>{1}));
  BOOST_TEST(at.refusals.size() == 1U);
  BOOST_TEST(
      at.CountSent<pull_message>("a") + at.CountSent<pull_message>("b") == 1U);
  BOOST_TEST(at.CountSent<refusal_message>("a") == 1U);
  BOOST_TEST(at.CountSent<refusal_message>("b") == 1U);
  at.Take(at.node.AcceptFromSource(at.now, 2, bad));
  BOOST_TEST(at.refusals.size() == 1U);
  at.Read(3);
  BOOST_TEST((at.versions == std::vector<std::uint64_t>{1, 3}));
}

BOOST_AUTO_TEST_CASE(ReportedRefusalsAreShownButBelievedByNobody) {
  bench at;
  at.Read(1);
  at.Up("a");
  at.Up("b");
  const refusal report{VersionOf(2, FolderAt(2)), {{"x", "$", "forged"}}};
  at.Hear("a", refusal_message{report});
  at.Hear("a", refusal_message{report});
  BOOST_TEST(at.refusals.size() == 1U);
  BOOST_TEST(at.refusals[0].is_reported);
  BOOST_TEST(at.CountSent<refusal_message>("b") == 1U);
  BOOST_TEST(at.CountSent<refusal_message>("a") == 0U);
  at.Offer("b", 2, FolderAt(2));
  at.Give("b", 2, FolderAt(2));
  BOOST_TEST((at.versions == std::vector<std::uint64_t>{1, 2}));
}

BOOST_AUTO_TEST_CASE(OffersGoToEveryPeerThatLacksTheVersion) {
  bench at;
  at.Up("a");
  at.Up("b");
  at.Up("c", VersionOf(2, FolderAt(2)));
  at.Give("c", 2, FolderAt(2));
  BOOST_TEST(at.CountSent<offer_message>("a") == 1U);
  BOOST_TEST(at.CountSent<offer_message>("b") == 1U);
  BOOST_TEST(at.CountSent<offer_message>("c") == 0U);
}

BOOST_AUTO_TEST_CASE(LostOffersAreRepairedByComparing) {
  bench at;
  at.Up("a");
  at.Read(2);
  BOOST_TEST(at.CountSent<offer_message>("a") == 1U);
  at.Pass(seconds{2});
  at.Hear("a", compare_message{});
  BOOST_TEST(at.CountSent<offer_message>("a") == 2U);
  at.Hear("a",
          compare_message{VersionOf(3, FolderAt(3)), 3, 0, kUnknownSourceAge});
  at.Give("a", 3, FolderAt(3));
  BOOST_TEST((at.versions == std::vector<std::uint64_t>{2, 3}));
  BOOST_TEST(at.CountSent<compare_message>("a") >= 1U);
}

BOOST_AUTO_TEST_CASE(JoinersAskSeveralPeersForParts) {
  bench at;
  std::vector<config_file> files = FolderAt(2);
  for (int i = 0; i < 40; ++i) {
    files.push_back(MakeFile("30-" + std::to_string(100 + i) + ".json",
                             "{\"team\": \"t\"} // " + std::to_string(i) +
                                 std::string(30'000, ' ')));
  }
  const std::vector<std::string> peers = {"a", "b", "c", "d", "e", "f"};
  for (const auto& vm : peers) {
    at.Up(vm, VersionOf(2, files));
  }
  for (const auto& vm : peers) {
    at.Hear(vm, ManifestOf(2, files));
  }
  std::size_t asked = 0;
  for (const auto& vm : peers) {
    asked += at.CountSent<files_request_message>(vm);
  }
  BOOST_TEST(asked == 4U);
  // Each peer sends the files requested from it, but peer "b" holds none.
  for (std::size_t i = 0; i < at.sent.size(); ++i) {
    const auto send = at.sent[i];
    const auto* request = std::get_if<files_request_message>(&send.content);
    if (request == nullptr) {
      continue;
    }
    files_message answer;
    for (const auto& wanted : request->wanted) {
      for (const auto& file : files) {
        if (file.content_digest == wanted && send.peer_vm != "b") {
          answer.bodies.push_back({wanted, *file.content});
        }
      }
    }
    if (send.peer_vm == "b") {
      answer.missing = request->wanted;
    }
    at.Hear(send.peer_vm, answer);
  }
  BOOST_TEST((at.versions == std::vector<std::uint64_t>{2}));
  BOOST_TEST(at.node.Counters().bodies_received == files.size());
}

BOOST_AUTO_TEST_CASE(WokenProcessComparesBeforeItOffers) {
  bench at;
  at.Up("a");
  at.Read(1);
  at.Offer("a", 2, FolderAt(2));
  BOOST_TEST(at.node.IsPulling());
  at.sent.clear();
  at.now += seconds{60};
  // A version read from the platform before the pause is accepted, but not
  // offered yet.
  at.Read(3);
  BOOST_TEST(!at.node.IsPulling());
  BOOST_TEST(at.CountSent<compare_message>("a") == 1U);
  BOOST_TEST(at.CountSent<offer_message>("a") == 0U);
  at.Hear("a", compare_message{{}, 0, 0, milliseconds{5}});
  BOOST_TEST(at.CountSent<offer_message>("a") == 0U);
  at.Pass(seconds{3});
  at.Hear("a", compare_message{});
  BOOST_TEST(at.CountSent<offer_message>("a") == 1U);
}

BOOST_AUTO_TEST_CASE(WokenProcessDropsWhatItWaitedFor) {
  bench at;
  at.Up("a");
  at.Read(1);
  at.Offer("a", 2, FolderAt(2));
  at.now += seconds{60};
  // Messages that queued up during the pause are outdated: neither the answer
  // to the pull nor the source age may be used.
  at.Give("a", 2, FolderAt(2));
  at.Hear("a", compare_message{{}, 0, 0, milliseconds{5}});
  BOOST_TEST((at.versions == std::vector<std::uint64_t>{1}));
  BOOST_TEST(at.node.NewestSourceAge(at.now)->count() == 60'000);
  at.Pass(milliseconds{100});
  at.Give("a", 2, FolderAt(2));
  BOOST_TEST((at.versions == std::vector<std::uint64_t>{1, 2}));
  at.Pass(seconds{3});
  at.Hear("a", compare_message{{}, 0, 0, milliseconds{5}});
  BOOST_TEST(at.node.NewestSourceAge(at.now)->count() < 1'000);
}

BOOST_AUTO_TEST_CASE(SourceAgesNeverGrowYoungerInALoop) {
  bench at;
  BOOST_TEST(!at.node.NewestSourceAge(at.now).has_value());
  at.Up("a");
  at.Hear("a", compare_message{{}, 0, 0, kUnknownSourceAge});
  BOOST_TEST(!at.node.NewestSourceAge(at.now).has_value());
  at.Take(at.node.SourceConfirmed(at.now, 1));
  for (int round = 0; round < 100; ++round) {
    // The peer returns the source age that this node sent it. The messages take
    // 50 ms in all.
    const auto told = *at.node.NewestSourceAge(at.now);
    at.now += milliseconds{50};
    at.Hear("a", compare_message{{}, 0, 0, told});
  }
  BOOST_TEST(at.node.NewestSourceAge(at.now)->count() == 5000);
}

BOOST_AUTO_TEST_CASE(StaleSourceConfirmsNothing) {
  bench at;
  at.Read(5);
  at.Pass(seconds{4});
  at.Take(at.node.SourceConfirmed(at.now, 4));
  BOOST_TEST(at.node.NewestSourceAge(at.now)->count() == 4000);
  at.Take(at.node.SourceConfirmed(at.now, 5));
  BOOST_TEST(at.node.NewestSourceAge(at.now)->count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
