#include <boost/test/unit_test.hpp>

#include "Tests/LibSpread/spreader_harness.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::BadFolderAt;
using testing::BodiesOf;
using testing::FolderAt;
using testing::MakeFile;
using testing::ManifestOf;
using testing::spreader_harness;
using testing::VersionOf;

}  // namespace

BOOST_AUTO_TEST_SUITE(spreader_suite)

BOOST_AUTO_TEST_CASE(OnlyGreaterVersionsReplaceTheHeldVersion) {
  spreader_harness harness;
  harness.ConnectPeer("a");
  harness.ReadFromPlatform(5);
  harness.ReadFromPlatform(4);
  harness.ReadFromPlatform(5);
  harness.ReceiveOffer("a", 4, FolderAt(4));
  harness.ReceiveVersion("a", 4, FolderAt(4));
  BOOST_TEST((harness.revisions_in_force == std::vector<std::uint64_t>{5}));
  BOOST_TEST(harness.node.Counters().source_outdated == 1U);
  BOOST_TEST(harness.CountSent<pull_message>("a") == 0U);
}

BOOST_AUTO_TEST_CASE(TwoContentsOfOneRevisionAreReportedAndOrdered) {
  const auto first = FolderAt(5);
  const auto second = FolderAt(6);
  const bool is_first_greater = VersionOf(5, first) > VersionOf(5, second);
  const auto& lesser = is_first_greater ? second : first;
  const auto& greater = is_first_greater ? first : second;
  spreader_harness harness;
  harness.RecordEffects(harness.node.AcceptFromSource(harness.now, 5, lesser));
  harness.RecordEffects(harness.node.AcceptFromSource(harness.now, 5, greater));
  harness.RecordEffects(harness.node.AcceptFromSource(harness.now, 5, lesser));
  BOOST_TEST(harness.revisions_in_force.size() == 2U);
  BOOST_TEST((harness.node.HeldVersion() == VersionOf(5, greater)));
  BOOST_TEST(harness.conflicts == 2);
}

BOOST_AUTO_TEST_CASE(
    RefusalsAreForwardedOnceAndRefusedVersionsNeverPulledAgain) {
  spreader_harness harness;
  harness.ReadFromPlatform(1);
  harness.ConnectPeer("a");
  harness.ConnectPeer("b");
  const auto bad = BadFolderAt(2);
  for (const std::string vm : {"a", "b"}) {
    harness.ReceiveOffer(vm, 2, bad);
    harness.ReceiveVersion(vm, 2, bad);
  }
  harness.AdvanceTime(seconds{10});
  BOOST_TEST((harness.revisions_in_force == std::vector<std::uint64_t>{1}));
  BOOST_TEST(harness.refusals.size() == 1U);
  BOOST_TEST(harness.CountSent<pull_message>("a") +
                 harness.CountSent<pull_message>("b") ==
             1U);
  BOOST_TEST(harness.CountSent<refusal_message>("a") == 1U);
  BOOST_TEST(harness.CountSent<refusal_message>("b") == 1U);
  harness.RecordEffects(harness.node.AcceptFromSource(harness.now, 2, bad));
  BOOST_TEST(harness.refusals.size() == 1U);
  harness.ReadFromPlatform(3);
  BOOST_TEST((harness.revisions_in_force == std::vector<std::uint64_t>{1, 3}));
}

BOOST_AUTO_TEST_CASE(ReportedRefusalsAreForwardedButDoNotPreventPulling) {
  spreader_harness harness;
  harness.ReadFromPlatform(1);
  harness.ConnectPeer("a");
  harness.ConnectPeer("b");
  const refusal report{VersionOf(2, FolderAt(2)), {{"x", "$", "forged"}}};
  harness.Receive("a", refusal_message{report});
  harness.Receive("a", refusal_message{report});
  BOOST_TEST(harness.refusals.size() == 1U);
  BOOST_TEST(harness.refusals[0].is_reported);
  BOOST_TEST(harness.CountSent<refusal_message>("b") == 1U);
  BOOST_TEST(harness.CountSent<refusal_message>("a") == 0U);
  harness.ReceiveOffer("b", 2, FolderAt(2));
  harness.ReceiveVersion("b", 2, FolderAt(2));
  BOOST_TEST((harness.revisions_in_force == std::vector<std::uint64_t>{1, 2}));
}

BOOST_AUTO_TEST_CASE(OffersGoToEveryPeerThatLacksTheVersion) {
  spreader_harness harness;
  harness.ConnectPeer("a");
  harness.ConnectPeer("b");
  harness.ConnectPeer("c", VersionOf(2, FolderAt(2)));
  harness.ReceiveVersion("c", 2, FolderAt(2));
  BOOST_TEST(harness.CountSent<offer_message>("a") == 1U);
  BOOST_TEST(harness.CountSent<offer_message>("b") == 1U);
  BOOST_TEST(harness.CountSent<offer_message>("c") == 0U);
}

BOOST_AUTO_TEST_CASE(LostOffersAreRepairedByPeriodicCompares) {
  spreader_harness harness;
  harness.ConnectPeer("a");
  harness.ReadFromPlatform(2);
  BOOST_TEST(harness.CountSent<offer_message>("a") == 1U);
  harness.AdvanceTime(seconds{2});
  harness.Receive("a", compare_message{});
  BOOST_TEST(harness.CountSent<offer_message>("a") == 2U);
  harness.Receive(
      "a", compare_message{VersionOf(3, FolderAt(3)), 3, 0, kUnknownSourceAge});
  harness.ReceiveVersion("a", 3, FolderAt(3));
  BOOST_TEST((harness.revisions_in_force == std::vector<std::uint64_t>{2, 3}));
  BOOST_TEST(harness.CountSent<compare_message>("a") >= 1U);
}

BOOST_AUTO_TEST_CASE(JoiningNodeRequestsFilesFromSeveralPeers) {
  spreader_harness harness;
  std::vector<config_file> files = FolderAt(2);
  for (int i = 0; i < 40; ++i) {
    files.push_back(MakeFile("30-" + std::to_string(100 + i) + ".json",
                             "{\"team\": \"t\"} // " + std::to_string(i) +
                                 std::string(30'000, ' ')));
  }
  const std::vector<std::string> peers = {"a", "b", "c", "d", "e", "f"};
  for (const auto& vm : peers) {
    harness.ConnectPeer(vm, VersionOf(2, files));
  }
  for (const auto& vm : peers) {
    harness.Receive(vm, ManifestOf(2, files));
  }
  std::size_t request_count = 0;
  for (const auto& vm : peers) {
    request_count += harness.CountSent<files_request_message>(vm);
  }
  BOOST_TEST(request_count == 4U);
  // Each peer sends the files requested from it, but peer "b" holds none.
  for (std::size_t i = 0; i < harness.sent.size(); ++i) {
    const auto send = harness.sent[i];
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
    harness.Receive(send.peer_vm, answer);
  }
  BOOST_TEST((harness.revisions_in_force == std::vector<std::uint64_t>{2}));
  BOOST_TEST(harness.node.Counters().bodies_received == files.size());
}

BOOST_AUTO_TEST_CASE(ResumedProcessComparesBeforeItOffers) {
  spreader_harness harness;
  harness.ConnectPeer("a");
  harness.ReadFromPlatform(1);
  harness.ReceiveOffer("a", 2, FolderAt(2));
  BOOST_TEST(harness.node.IsPulling());
  harness.sent.clear();
  harness.now += seconds{60};
  // A version read from the platform before the pause is accepted, but not
  // offered yet.
  harness.ReadFromPlatform(3);
  BOOST_TEST(!harness.node.IsPulling());
  BOOST_TEST(harness.CountSent<compare_message>("a") == 1U);
  BOOST_TEST(harness.CountSent<offer_message>("a") == 0U);
  harness.Receive("a", compare_message{{}, 0, 0, milliseconds{5}});
  BOOST_TEST(harness.CountSent<offer_message>("a") == 0U);
  harness.AdvanceTime(seconds{3});
  harness.Receive("a", compare_message{});
  BOOST_TEST(harness.CountSent<offer_message>("a") == 1U);
}

BOOST_AUTO_TEST_CASE(ResumedProcessIgnoresMessagesQueuedDuringThePause) {
  spreader_harness harness;
  harness.ConnectPeer("a");
  harness.ReadFromPlatform(1);
  harness.ReceiveOffer("a", 2, FolderAt(2));
  harness.now += seconds{60};
  // Messages that queued up during the pause are outdated: neither the answer
  // to the pull nor the source age may be used.
  harness.ReceiveVersion("a", 2, FolderAt(2));
  harness.Receive("a", compare_message{{}, 0, 0, milliseconds{5}});
  BOOST_TEST((harness.revisions_in_force == std::vector<std::uint64_t>{1}));
  BOOST_TEST(harness.node.NewestSourceAge(harness.now)->count() == 60'000);
  harness.AdvanceTime(milliseconds{100});
  harness.ReceiveVersion("a", 2, FolderAt(2));
  BOOST_TEST((harness.revisions_in_force == std::vector<std::uint64_t>{1, 2}));
  harness.AdvanceTime(seconds{3});
  harness.Receive("a", compare_message{{}, 0, 0, milliseconds{5}});
  BOOST_TEST(harness.node.NewestSourceAge(harness.now)->count() < 1'000);
}

BOOST_AUTO_TEST_CASE(EchoedSourceAgesNeverDecrease) {
  spreader_harness harness;
  BOOST_TEST(!harness.node.NewestSourceAge(harness.now).has_value());
  harness.ConnectPeer("a");
  harness.Receive("a", compare_message{{}, 0, 0, kUnknownSourceAge});
  BOOST_TEST(!harness.node.NewestSourceAge(harness.now).has_value());
  harness.RecordEffects(harness.node.SourceConfirmed(harness.now, 1));
  for (int round = 0; round < 100; ++round) {
    // The peer returns the source age that this node sent it. The messages take
    // 50 ms in all.
    const auto echoed_age = *harness.node.NewestSourceAge(harness.now);
    harness.now += milliseconds{50};
    harness.Receive("a", compare_message{{}, 0, 0, echoed_age});
  }
  BOOST_TEST(harness.node.NewestSourceAge(harness.now)->count() == 5000);
}

BOOST_AUTO_TEST_CASE(StalePlatformRevisionDoesNotResetTheSourceAge) {
  spreader_harness harness;
  harness.ReadFromPlatform(5);
  harness.AdvanceTime(seconds{4});
  harness.RecordEffects(harness.node.SourceConfirmed(harness.now, 4));
  BOOST_TEST(harness.node.NewestSourceAge(harness.now)->count() == 4000);
  harness.RecordEffects(harness.node.SourceConfirmed(harness.now, 5));
  BOOST_TEST(harness.node.NewestSourceAge(harness.now)->count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
