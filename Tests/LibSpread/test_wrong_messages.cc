#include <boost/test/unit_test.hpp>
#include <functional>

#include "Tests/LibSpread/spreader_bench.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;
using testing::bench;
using testing::BodiesOf;
using testing::FolderAt;
using testing::ManifestOf;
using testing::VersionOf;

/// A wrong, unexpected or missing message, and the counter that it raises. In
/// each case the node holds revision 1, and peer "a" has offered revision 2.
struct wrong_message {
  std::string name;
  std::function<void(bench&)> happen;
  std::uint64_t spread_counters::*counter;
};

std::vector<wrong_message> WrongMessages() {
  const auto good = FolderAt(2);
  const auto other = FolderAt(3);
  auto damaged = BodiesOf(good);
  for (auto& body : damaged.bodies) {
    body.content.back() = ' ';
  }
  auto lying = ManifestOf(2, good);
  for (auto& entry : lying.changed) {
    entry.size_bytes = 1;
  }
  auto disordered = ManifestOf(2, good);
  std::swap(disordered.changed[0], disordered.changed[1]);
  auto unknown_base = ManifestOf(2, good);
  unknown_base.base = {99, {}};
  using counters = spread_counters;
  return {
      {"an offer from a VM that is not a peer",
       [=](bench& at) { at.Offer("z", 3, other); },
       &counters::messages_of_strangers},
      {"a hello on an open link",
       [](bench& at) { at.Hear("a", hello_message{}); },
       &counters::messages_out_of_place},
      {"an offer of the held version",
       [](bench& at) { at.Offer("b", 1, FolderAt(1)); },
       &counters::offers_outdated},
      {"a manifest from a peer that was not asked",
       [=](bench& at) { at.Hear("b", ManifestOf(2, good)); },
       &counters::messages_unasked},
      {"a manifest of another version",
       [=](bench& at) { at.Hear("a", ManifestOf(3, other)); },
       &counters::messages_unasked},
      {"files before the manifest",
       [=](bench& at) { at.Hear("a", BodiesOf(good)); },
       &counters::messages_unasked},
      {"a manifest that does not match the digest, as difference and whole",
       [=](bench& at) {
         auto forged = ManifestOf(3, other);
         forged.version = VersionOf(2, good);
         at.Hear("a", forged);
         at.Hear("a", forged);
       },
       &counters::manifest_mismatches},
      {"a manifest with files out of order, twice",
       [=](bench& at) {
         at.Hear("a", disordered);
         at.Hear("a", disordered);
       },
       &counters::manifest_mismatches},
      {"a manifest delta against a base that is not held",
       [=](bench& at) { at.Hear("a", unknown_base); },
       &counters::delta_mismatches},
      {"files that do not match their digests",
       [=](bench& at) {
         at.Hear("a", ManifestOf(2, good));
         at.Hear("a", damaged);
       },
       &counters::body_mismatches},
      {"a manifest with wrong file sizes",
       [=](bench& at) {
         at.Hear("a", lying);
         at.Hear("a", BodiesOf(good));
       },
       &counters::body_mismatches},
      {"files that were not requested",
       [=](bench& at) {
         at.Hear("a", ManifestOf(2, good));
         at.Hear("a", files_message{{{DigestOf("x"), "x"}}, {}});
       },
       &counters::messages_unasked},
      {"a repeated manifest",
       [=](bench& at) {
         at.Hear("a", ManifestOf(2, good));
         at.Hear("a", ManifestOf(2, good));
       },
       &counters::messages_unasked},
      {"no answer to the pull", [](bench& at) { at.Pass(milliseconds{1600}); },
       &counters::timeouts},
      {"an older version offered",
       [](bench& at) {
         at.Hear("b", offer_message{{0, {}}, 0, milliseconds{0}});
       },
       &counters::offers_outdated},
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(wrong_messages_suite)

BOOST_AUTO_TEST_CASE(WrongMessagesAreCountedAndNothingIsLost) {
  for (const auto& wrong : WrongMessages()) {
    bench at;
    at.Read(1);
    at.Up("a");
    at.Up("b");
    at.Offer("a", 2, FolderAt(2));
    const auto before = at.node.Counters().*wrong.counter;
    wrong.happen(at);
    const auto after = at.node.Counters().*wrong.counter;
    BOOST_TEST(after > before, wrong.name);
    BOOST_TEST((at.versions == std::vector<std::uint64_t>{1}), wrong.name);

    // Another peer holds the version too and sends all of it.
    at.Pass(milliseconds{6000});
    at.Offer("b", 2, FolderAt(2));
    at.Give("b", 2, FolderAt(2));
    at.Give("b", 2, FolderAt(2));
    at.Give("a", 2, FolderAt(2));
    at.Give("b", 2, FolderAt(2));
    BOOST_TEST((at.versions == std::vector<std::uint64_t>{1, 2}), wrong.name);
    BOOST_TEST((at.node.HeldVersion() == VersionOf(2, FolderAt(2))),
               wrong.name);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
