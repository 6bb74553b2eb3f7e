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

/// Something a peer says wrongly, and the counter that tells. In each case the
/// node holds revision 1, and peer "a" offered it revision 2.
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
      {"a stranger's offer", [=](bench& at) { at.Offer("z", 3, other); },
       &counters::messages_from_unknown_peers},
      {"a hello in the middle",
       [](bench& at) { at.Hear("a", hello_message{}); },
       &counters::messages_of_unexpected_kind},
      {"an offer of what is held",
       [](bench& at) { at.Offer("b", 1, FolderAt(1)); },
       &counters::offers_outdated},
      {"a manifest from a peer that was not asked",
       [=](bench& at) { at.Hear("b", ManifestOf(2, good)); },
       &counters::unsolicited_messages},
      {"a manifest of another version",
       [=](bench& at) { at.Hear("a", ManifestOf(3, other)); },
       &counters::unsolicited_messages},
      {"files before the manifest",
       [=](bench& at) { at.Hear("a", BodiesOf(good)); },
       &counters::unsolicited_messages},
      {"another manifest under the version's name, as difference and whole",
       [=](bench& at) {
         auto forged = ManifestOf(3, other);
         forged.version = VersionOf(2, good);
         at.Hear("a", forged);
         at.Hear("a", forged);
       },
       &counters::manifest_mismatches},
      {"a manifest out of order",
       [=](bench& at) {
         at.Hear("a", disordered);
         at.Hear("a", disordered);
       },
       &counters::manifest_mismatches},
      {"a difference to a base that is not held",
       [=](bench& at) { at.Hear("a", unknown_base); },
       &counters::delta_mismatches},
      {"files that do not have their digest",
       [=](bench& at) {
         at.Hear("a", ManifestOf(2, good));
         at.Hear("a", damaged);
       },
       &counters::body_mismatches},
      {"a manifest that lies about sizes",
       [=](bench& at) {
         at.Hear("a", lying);
         at.Hear("a", BodiesOf(good));
       },
       &counters::body_mismatches},
      {"files nobody wants",
       [=](bench& at) {
         at.Hear("a", ManifestOf(2, good));
         at.Hear("a", files_message{{{DigestOf("x"), "x"}}, {}});
       },
       &counters::unsolicited_messages},
      {"a manifest replayed",
       [=](bench& at) {
         at.Hear("a", ManifestOf(2, good));
         at.Hear("a", ManifestOf(2, good));
       },
       &counters::unsolicited_messages},
      {"no answer at all", [](bench& at) { at.Pass(milliseconds{1600}); },
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

    // Another peer holds the version too, and gives it whole.
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
