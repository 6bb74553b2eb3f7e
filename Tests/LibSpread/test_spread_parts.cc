#include <boost/test/unit_test.hpp>

#include "LibBase/random.h"
#include "LibSpread/last_held_table.h"
#include "LibSpread/manifest_delta.h"
#include "LibSpread/manifest_history.h"
#include "LibSpread/refusal_log.h"
#include "LibSpread/request_queue.h"
#include "Tests/LibSpread/versions.h"

namespace wagtailmount {

namespace {

using testing::FolderAt;
using testing::ManifestOf;

std::shared_ptr<const configuration> AcceptedVersion(std::uint64_t revision) {
  return AcceptFolder(revision, FolderAt(revision, 20), nullptr).value();
}

refusal RefusalOf(std::uint64_t revision) {
  return {{revision, {}}, {{"a.json", "$", "wrong"}}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(spread_parts_suite)

BOOST_AUTO_TEST_CASE(AppliedDeltasYieldTheCurrentManifest) {
  manifest_history history(1000);
  std::vector<std::shared_ptr<const configuration>> versions;
  for (std::uint64_t revision = 1; revision <= 8; ++revision) {
    versions.push_back(AcceptedVersion(revision));
    if (revision > 1) {
      const auto& before = *versions[revision - 2];
      history.Record(
          before.Version(),
          ChangedNames(before.Manifest(), versions.back()->Manifest()));
    }
  }
  const auto& current = *versions.back();
  std::size_t deltas = 0;
  for (const auto& base : versions) {
    const auto delta = history.DeltaSince(base->Version(), {}, current);
    if (!delta) {
      continue;
    }
    ++deltas;
    const auto manifest = ApplyManifest(base->Manifest(), *delta);
    BOOST_REQUIRE(manifest.has_value());
    BOOST_TEST((DigestOfManifest(*manifest) == current.Version().content));
  }
  BOOST_TEST(deltas >= 1U);
  BOOST_TEST(!history.DeltaSince({}, {}, current).has_value());
  BOOST_TEST(!history.DeltaSince(current.Version(), {}, current).has_value());
}

BOOST_AUTO_TEST_CASE(DeltaFromASkippedBaseNeedsTheReceiversChangedNames) {
  const auto first = AcceptedVersion(1);
  const auto skipped = AcceptedVersion(2);
  const auto current = AcceptedVersion(3);
  manifest_history sender(1000);
  sender.Record(first->Version(),
                ChangedNames(first->Manifest(), current->Manifest()));
  manifest_history receiver(1000);
  receiver.Record(first->Version(),
                  ChangedNames(first->Manifest(), skipped->Manifest()));
  const auto yields_current = [&](std::span<const std::string> names) {
    const auto delta = sender.DeltaSince(skipped->Version(), names, *current);
    return delta &&
           DigestOfManifest(*ApplyManifest(skipped->Manifest(), *delta)) ==
               current->Version().content;
  };
  BOOST_TEST(!yields_current({}));
  BOOST_TEST(yields_current(receiver.RecentNames(16)));
}

BOOST_AUTO_TEST_CASE(ManifestHistoryIsBounded) {
  manifest_history history(100);
  for (std::uint64_t revision = 1; revision < 500; ++revision) {
    history.Record({revision, {}}, {"a", "b", "c"});
    BOOST_TEST(history.NameCount() <= 100U);
  }
  history.Record({500, {}}, std::vector<std::string>(1000, "a"));
  BOOST_TEST(history.NameCount() <= 100U);
}

BOOST_AUTO_TEST_CASE(MalformedManifestsAreRejected) {
  const digest content = DigestOf("a");
  const auto is_rejected = [](std::vector<manifest_entry> changed,
                              std::vector<std::string> removed) {
    const manifest_message received{
        {2, {}}, {}, std::move(changed), std::move(removed)};
    return !ApplyManifest({}, received).has_value();
  };
  BOOST_TEST(is_rejected({{"b", content, 1}, {"a", content, 1}}, {}));
  BOOST_TEST(is_rejected({{"a", content, 1}, {"a", content, 1}}, {}));
  BOOST_TEST(is_rejected({{"a", content, 1}}, {"c", "b"}));
  BOOST_TEST(is_rejected({}, {}));
  BOOST_TEST(is_rejected({{"a", content, 17'000'000}}, {}));
  BOOST_TEST(!is_rejected({{"a", content, 1}, {"b", content, 1}}, {"x"}));
}

BOOST_AUTO_TEST_CASE(RenamedAndCopiedFilesAreNotFetchedAgain) {
  const auto held = AcceptedVersion(1);
  auto files = FolderAt(1);
  files.back().name = "40-renamed.json";
  files.push_back(testing::MakeFile("50-new.json", "{}"));
  files.push_back(testing::MakeFile("60-same.json", "{}"));
  const auto plan = PlanVersion(ManifestOf(2, files).changed, held.get(), {});
  BOOST_REQUIRE(plan.missing.size() == 1U);
  BOOST_TEST((plan.missing[0].content_digest == DigestOf("{}")));
}

BOOST_AUTO_TEST_CASE(RefusalsAreDeduplicatedAndBounded) {
  refusal_log log(4);
  BOOST_TEST(log.Add(RefusalOf(5), false));
  BOOST_TEST(!log.Add(RefusalOf(5), false));
  BOOST_TEST(!log.IsRefusedLocally({5, {}}));
  BOOST_TEST(!log.Add(RefusalOf(5), true));
  BOOST_TEST(log.IsRefusedLocally({5, {}}));
  for (std::uint64_t revision = 6; revision < 10; ++revision) {
    BOOST_TEST(log.Add(RefusalOf(revision), false));
  }
  BOOST_TEST(log.RefusalsAbove({}).size() == 4U);
  // A refusal that was dropped to stay within the bound still counts as known;
  // otherwise peers would forward it to each other for ever.
  BOOST_TEST(!log.Add(RefusalOf(5), false));
}

BOOST_AUTO_TEST_CASE(LastHeldVersionsNeverDecreaseAndAreBounded) {
  last_held_table table(2);
  table.Note("a", {5, {}});
  table.Note("a", {3, {}});
  table.Note("a", {});
  BOOST_TEST(table.GreatestHeld("a").revision == 5U);
  table.Note("b", {1, {}});
  table.Note("a", {4, {}});
  table.Note("c", {1, {}});
  BOOST_TEST(table.GreatestHeld("a").revision == 5U);
  BOOST_TEST(table.GreatestHeld("b").revision == 0U);
}

BOOST_AUTO_TEST_CASE(RequestsWaitOnceTheBudgetIsSpent) {
  const time_point start{std::chrono::seconds{10}};
  request_queue queue(1000, start);
  BOOST_TEST(!queue.Add(start, {"a", files_request_message{}}));
  BOOST_TEST(queue.Next(start).has_value());
  queue.Spend(2500);
  BOOST_TEST(queue.Add(start, {"a", files_request_message{}}));
  BOOST_TEST(queue.Add(start, {"a", files_request_message{}}));
  BOOST_TEST(queue.Add(start, {"a", pull_message{}}));
  BOOST_TEST(queue.Add(start, {"b", pull_message{}}));
  BOOST_TEST(queue.Size() == 3U);
  queue.RemovePeer("b");
  BOOST_TEST(!queue.Next(start + std::chrono::seconds{1}).has_value());
  BOOST_TEST(queue.Next(start + std::chrono::seconds{2}).has_value());
  BOOST_TEST(queue.Size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
