#include <boost/test/unit_test.hpp>
#include <functional>

#include "Tests/LibSpread/spreader_harness.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;
using testing::BodiesOf;
using testing::FolderAt;
using testing::ManifestOf;
using testing::spreader_harness;
using testing::VersionOf;

/// A wrong, unexpected or missing message, and the counter that it raises. In
/// each case the node holds revision 1, and peer "a" has offered revision 2.
struct wrong_message_case {
  std::string name;
  std::function<void(spreader_harness&)> inject;
  std::uint64_t spread_counters::*counter;
};

std::vector<wrong_message_case> WrongMessageCases() {
  const auto good = FolderAt(2);
  const auto other = FolderAt(3);
  auto corrupted = BodiesOf(good);
  for (auto& body : corrupted.bodies) {
    body.content.back() = ' ';
  }
  auto wrong_sizes = ManifestOf(2, good);
  for (auto& entry : wrong_sizes.changed) {
    entry.size_bytes = 1;
  }
  auto out_of_order = ManifestOf(2, good);
  std::swap(out_of_order.changed[0], out_of_order.changed[1]);
  auto unknown_base = ManifestOf(2, good);
  unknown_base.base = {99, {}};
  using counters = spread_counters;
  return {
      {"an offer from a VM that is not a peer",
       [=](spreader_harness& harness) { harness.ReceiveOffer("z", 3, other); },
       &counters::messages_from_unknown_peers},
      {"a hello on an open link",
       [](spreader_harness& harness) { harness.Receive("a", hello_message{}); },
       &counters::messages_of_unexpected_kind},
      {"an offer of the held version",
       [](spreader_harness& harness) {
         harness.ReceiveOffer("b", 1, FolderAt(1));
       },
       &counters::offers_outdated},
      {"a manifest from a peer that was not asked",
       [=](spreader_harness& harness) {
         harness.Receive("b", ManifestOf(2, good));
       },
       &counters::unsolicited_messages},
      {"a manifest of another version",
       [=](spreader_harness& harness) {
         harness.Receive("a", ManifestOf(3, other));
       },
       &counters::unsolicited_messages},
      {"files before the manifest",
       [=](spreader_harness& harness) { harness.Receive("a", BodiesOf(good)); },
       &counters::unsolicited_messages},
      {"a manifest that does not match the digest, as difference and whole",
       [=](spreader_harness& harness) {
         auto forged = ManifestOf(3, other);
         forged.version = VersionOf(2, good);
         harness.Receive("a", forged);
         harness.Receive("a", forged);
       },
       &counters::manifest_mismatches},
      {"a manifest with files out of order, twice",
       [=](spreader_harness& harness) {
         harness.Receive("a", out_of_order);
         harness.Receive("a", out_of_order);
       },
       &counters::manifest_mismatches},
      {"a manifest delta against a base that is not held",
       [=](spreader_harness& harness) { harness.Receive("a", unknown_base); },
       &counters::delta_mismatches},
      {"files that do not match their digests",
       [=](spreader_harness& harness) {
         harness.Receive("a", ManifestOf(2, good));
         harness.Receive("a", corrupted);
       },
       &counters::body_mismatches},
      {"a manifest with wrong file sizes",
       [=](spreader_harness& harness) {
         harness.Receive("a", wrong_sizes);
         harness.Receive("a", BodiesOf(good));
       },
       &counters::body_mismatches},
      {"files that were not requested",
       [=](spreader_harness& harness) {
         harness.Receive("a", ManifestOf(2, good));
         harness.Receive("a", files_message{{{DigestOf("x"), "x"}}, {}});
       },
       &counters::unsolicited_messages},
      {"a repeated manifest",
       [=](spreader_harness& harness) {
         harness.Receive("a", ManifestOf(2, good));
         harness.Receive("a", ManifestOf(2, good));
       },
       &counters::unsolicited_messages},
      {"no answer to the pull",
       [](spreader_harness& harness) {
         harness.AdvanceTime(milliseconds{1600});
       },
       &counters::timeouts},
      {"an older version offered",
       [](spreader_harness& harness) {
         harness.Receive("b", offer_message{{0, {}}, 0, milliseconds{0}});
       },
       &counters::offers_outdated},
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(wrong_messages_suite)

BOOST_AUTO_TEST_CASE(WrongMessagesAreCountedAndTheVersionStillArrives) {
  for (const auto& wrong_case : WrongMessageCases()) {
    spreader_harness harness;
    harness.ReadFromPlatform(1);
    harness.ConnectPeer("a");
    harness.ConnectPeer("b");
    harness.ReceiveOffer("a", 2, FolderAt(2));
    const auto before = harness.node.Counters().*wrong_case.counter;
    wrong_case.inject(harness);
    const auto after = harness.node.Counters().*wrong_case.counter;
    BOOST_TEST(after > before, wrong_case.name);
    BOOST_TEST((harness.revisions_in_force == std::vector<std::uint64_t>{1}),
               wrong_case.name);

    // Another peer holds the version too and sends all of it.
    harness.AdvanceTime(milliseconds{6000});
    harness.ReceiveOffer("b", 2, FolderAt(2));
    harness.ReceiveVersion("b", 2, FolderAt(2));
    harness.ReceiveVersion("b", 2, FolderAt(2));
    harness.ReceiveVersion("a", 2, FolderAt(2));
    harness.ReceiveVersion("b", 2, FolderAt(2));
    BOOST_TEST((harness.revisions_in_force == std::vector<std::uint64_t>{1, 2}),
               wrong_case.name);
    BOOST_TEST((harness.node.HeldVersion() == VersionOf(2, FolderAt(2))),
               wrong_case.name);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
