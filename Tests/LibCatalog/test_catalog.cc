#include <boost/test/unit_test.hpp>

#include "LibBase/random.h"
#include "LibCatalog/catalog.h"
#include "LibCatalog/content_delta.h"
#include "LibCatalog/packed_text.h"

using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

catalog_item Item(std::string key, std::uint64_t revision,
                  std::string content = "x") {
  return {std::move(key),
          revision,
          revision,
          false,
          std::make_shared<const std::string>(std::move(content)),
          0};
}

catalog_item Removal(std::string key, std::uint64_t revision) {
  return {std::move(key), revision, 0, true, nullptr, 0};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(catalog_suite)

BOOST_AUTO_TEST_CASE(AnOlderRevisionNeverReplacesANewerOne) {
  catalog held;
  held.ApplyUpdate({0, 7, {Item("op", 7, "new")}});
  BOOST_TEST(held.ApplyUpdate({3, 5, {Item("op", 5, "old")}}).empty());
  BOOST_TEST(*held.Find("op")->content == "new");
  BOOST_TEST(held.CompleteTo() == 7U);
}

BOOST_AUTO_TEST_CASE(ADelayedUpdateDoesNotRestoreARemovedKey) {
  catalog held;
  held.ApplyUpdate({0, 7, {Item("s/1", 4)}});
  held.ApplyUpdate({7, 9, {Removal("s/1", 9)}});
  held.ApplyUpdate({2, 8, {Item("s/1", 8)}});
  BOOST_TEST(held.Find("s/1") == nullptr);
  // The key may be registered again at a later revision.
  held.ApplyUpdate({9, 12, {Item("s/1", 12)}});
  BOOST_TEST(held.Find("s/1") != nullptr);
}

BOOST_AUTO_TEST_CASE(AnUpdateThatWouldLeaveAGapIsRejected) {
  catalog held;
  held.ApplyUpdate({0, 7, {Item("a", 7)}});
  BOOST_TEST(held.ApplyUpdate({8, 9, {Item("b", 9)}}).empty());
  BOOST_TEST(held.CompleteTo() == 7U);
  BOOST_TEST(held.Find("b") == nullptr);
}

BOOST_AUTO_TEST_CASE(AListingRemovesMissingKeysUnlessTheyAreNewer) {
  catalog held;
  held.ApplyUpdate({0, 7, {Item("gone", 3), Item("stays", 4)}});
  held.ApplyUpdate({7, 12, {Item("newer", 12)}});
  const auto changed = held.ApplyListing(std::vector{Item("stays", 4)}, 12);
  BOOST_TEST(held.Find("gone") == nullptr);
  BOOST_TEST(held.Find("stays") != nullptr);
  BOOST_TEST(changed.size() == 2U);
  // A listing older than the held state restores nothing.
  BOOST_TEST(held.ApplyListing(std::vector{Item("gone", 3)}, 5).empty());
  BOOST_TEST(held.Find("gone") == nullptr);
}

BOOST_AUTO_TEST_CASE(AnotherNodeCatchesUpByOneUpdate) {
  catalog first;
  first.ApplyUpdate({0, 5, {Item("a", 2), Item("b", 5)}});
  catalog second;
  second.ApplyUpdate(first.UpdateAfter(0));
  first.ApplyUpdate({5, 9, {Removal("a", 8), Item("c", 9)}});
  const catalog_update update = first.UpdateAfter(second.CompleteTo());
  BOOST_TEST(update.items.size() == 2U);
  second.ApplyUpdate(update);
  BOOST_TEST(second.CompleteTo() == 9U);
  BOOST_TEST(second.Find("a") == nullptr);
  BOOST_TEST(second.ItemsUnder("").size() == 2U);
}

// Many versions of a configuration in a row: each changes one of 300 routes.
BOOST_AUTO_TEST_CASE(ASmallChangeOfALargeContentIsSentAsASmallDelta) {
  const auto routes = [](int version, int changed) {
    std::string text = "{\"version\":" + std::to_string(version) + ",\"r\":[";
    for (int at = 0; at < 300; ++at) {
      text += "{\"name\":\"r-" + std::to_string(at) +
              "\",\"timeout\":" + std::to_string(at == changed ? 7 : 1) +
              ",\"match\":{\"prefix\":\"/" + std::to_string(at) +
              "/\"},\"action\":{\"service\":\"ledger\",\"attempts\":2}},";
    }
    return text + "{}]}";
  };
  catalog first;
  first.ApplyUpdate({0, 5, {Item("op", 5, routes(1, -1))}});
  catalog second;
  second.ApplyUpdate(first.UpdateAfter(0));
  first.ApplyUpdate({5, 6, {Item("op", 6, routes(2, 40))}});
  first.ApplyUpdate({6, 9, {Item("op", 9, routes(3, 200))}});
  const catalog_update update = first.UpdateAfter(second.CompleteTo());
  BOOST_TEST(update.ContentBytes() < 600U);
  BOOST_TEST(second.ApplyUpdate(update).size() == 1U);
  BOOST_TEST(*second.Find("op")->content == routes(3, 200));
  // A node that holds another revision rejects the delta.
  catalog third;
  third.ApplyUpdate({0, 5, {Item("op", 4, routes(9, 9))}});
  BOOST_TEST(third.ApplyUpdate(update).empty());
  BOOST_TEST(third.CompleteTo() == 5U);
}

// A node that starts on a link of 5 Mbit/s must get 1,650 routes from a peer
// within 0.1 s, that is in 62,500 bytes.
BOOST_AUTO_TEST_CASE(AWholeCatalogIsSentCompressed) {
  std::string routes;
  for (int at = 0; at < 1'650; ++at) {
    const std::string number = std::to_string(at * 7919 % 10'000);
    routes += "{\"name\":\"r-" + number + "\",\"match\":{\"prefix\":\"/p" +
              number + "/\"},\"action\":{\"service\":\"ledger\"}},";
  }
  catalog first;
  first.ApplyUpdate({0, 5, {Item("op", 4, routes), Item("s/1", 5)}});
  const catalog_update update = first.UpdateAfter(0);
  BOOST_TEST(update.ContentBytes() < 62'500U);
  catalog second;
  BOOST_TEST(second.ApplyUpdate(update).size() == 2U);
  BOOST_TEST(second.CompleteTo() == 5U);
  BOOST_TEST(*second.Find("op")->content == routes);
}

// A starting node may list only the upstreams; its catalog must not count as
// complete after that.
BOOST_AUTO_TEST_CASE(APartialListingDoesNotMakeTheCatalogComplete) {
  catalog held;
  BOOST_TEST(held.ApplyPartialListing(std::vector{Item("s/1", 8)}).size() ==
             1U);
  BOOST_TEST(held.CompleteTo() == 0U);
  held.ApplyUpdate({0, 6, {Item("op", 4), Item("s/2", 5)}});
  // The update lacks s/1, but s/1 is newer than the update, so it stays.
  BOOST_TEST(held.Find("s/1") != nullptr);
  BOOST_TEST(held.CompleteTo() == 6U);
}

BOOST_AUTO_TEST_CASE(AMalformedDeltaIsRejected) {
  const std::string base = "{" + std::string(100, 'a') + "}";
  const std::string delta = MakeDelta(base, base + "}b");
  BOOST_TEST(ApplyDelta(base, delta).value() == base + "}b");
  BOOST_TEST(!ApplyDelta("other", delta));
  for (std::size_t size = 0; size < delta.size(); ++size) {
    BOOST_TEST(!ApplyDelta(base, delta.substr(0, size)));
  }
  BOOST_TEST(!ApplyDelta(base, "1 pc0 1000 "));
  BOOST_TEST(!ApplyDelta(base, "1 pc99999999999999999999 1 "));
  BOOST_TEST(!ApplyDelta(base, "1 pi50 x"));
}

BOOST_AUTO_TEST_CASE(ManyNewRoutesFitASlowLink) {
  random_source random{3};
  const auto routes = [&](int count) {
    std::string text;
    for (int number = 0; number < count; ++number) {
      text += R"({"match":{"prefix":"/)" +
              std::to_string(random.Below(1'000'000'000)) +
              R"(/"},"action":{"cluster":"pages","timeout":"1200ms",)"
              R"("max-attempts":2,"route-kind":"safe","priority":2}},)";
    }
    return text;
  };
  const std::string base = routes(1'600);
  const std::string target = base + routes(1'656);
  const std::string delta = MakeDelta(base, target);
  constexpr std::size_t kMaxForwardedBytes = 64 * 1024;
  BOOST_TEST(target.size() - base.size() > 3 * kMaxForwardedBytes);
  BOOST_TEST(delta.size() < kMaxForwardedBytes);
  BOOST_TEST((ApplyDelta(base, delta) == target));
  for (std::size_t size = 0; size < delta.size(); size += 97) {
    BOOST_TEST(!ApplyDelta(base, delta.substr(0, size)));
  }
}

BOOST_AUTO_TEST_CASE(DecompressionStopsAtTheSizeLimit) {
  const std::string text(100'000, 'a');
  const std::string compressed = CompressText(text);
  BOOST_TEST(compressed.size() < 1'000U);
  BOOST_TEST((DecompressText(compressed, text.size()) == text));
  BOOST_TEST(!DecompressText(compressed, text.size() - 1));
  BOOST_TEST(!DecompressText("not packed", 1'000));
  BOOST_TEST(!DecompressText("", 1'000));
}

// The platform was restored from a copy at revision 5 and has since given out
// revisions 6 and 7 again, with other contents.
struct restored_platform {
  restored_platform() {
    held.ApplyListing(
        std::vector{Item("s/1", 3), Item("s/2", 6, "before"), Item("s/3", 9)},
        9, 4);
    held.ApplyUpdate({9, 10, {Removal("s/4", 10)}, 4});
  }

  std::vector<catalog_item> Listed() const {
    return {Item("s/1", 3), Item("s/2", 6, "after"), Item("s/4", 4)};
  }

  catalog held;
};

BOOST_FIXTURE_TEST_CASE(ANewEraReplacesAllItemsWhateverTheirRevisions,
                        restored_platform) {
  const auto changed = held.ApplyListing(Listed(), 7, 5);
  BOOST_TEST((changed == std::vector<std::string>{"s/2", "s/4", "s/3"}));
  BOOST_TEST((held.Position() == catalog_position{5, 7}));
  BOOST_TEST(*held.Find("s/2")->content == "after");
  BOOST_TEST(held.Find("s/3") == nullptr);
  BOOST_TEST(held.Find("s/4") != nullptr);
  // Revisions up to 10 were held in the era before, and count again now.
  BOOST_TEST(held.ApplyUpdate({7, 8, {Item("s/3", 8, "new")}, 5}).size() == 1U);
  BOOST_TEST(*held.Find("s/3")->content == "new");
}

BOOST_FIXTURE_TEST_CASE(NothingOfAnEarlierEraIsTaken, restored_platform) {
  held.ApplyListing(Listed(), 7, 5);
  BOOST_TEST(held.ApplyListing(std::vector{Item("s/3", 9)}, 20, 4).empty());
  BOOST_TEST(held.ApplyUpdate({0, 20, {Item("s/3", 9)}, 4}).empty());
  BOOST_TEST(held.ApplyUpdate({7, 20, {Item("s/3", 9)}, 4}).empty());
  BOOST_TEST(held.ApplyPartialListing(std::vector{Item("s/3", 9)}, 4).empty());
  BOOST_TEST((held.Position() == catalog_position{5, 7}));
  BOOST_TEST(held.Find("s/3") == nullptr);
}

BOOST_FIXTURE_TEST_CASE(AnEraBeginsWithACompleteListingOnly,
                        restored_platform) {
  BOOST_TEST(held.ApplyUpdate({7, 8, {Item("s/3", 8)}, 5}).empty());
  BOOST_TEST(held.ApplyPartialListing(std::vector{Item("s/3", 8)}, 5).empty());
  BOOST_TEST((held.Position() == catalog_position{4, 10}));
}

// Two restores in a row, and a node that missed the first.
BOOST_FIXTURE_TEST_CASE(ANodeThatMissedAnEraTakesTheNextOneFromAPeer,
                        restored_platform) {
  catalog peer;
  peer.ApplyListing(Listed(), 7, 5);
  peer.ApplyListing(std::vector{Item("s/1", 3, std::string(9'000, 'a'))}, 3, 6);
  held.ApplyUpdate(peer.UpdateAfter(0));
  BOOST_TEST((held.Position() == catalog_position{6, 3}));
  BOOST_TEST(held.Find("s/1")->content->size() == 9'000U);
  BOOST_TEST(held.ItemsUnder("s/").size() == 1U);
}

// The base of a delta is named by its revision, which the new era gives out
// again.
BOOST_FIXTURE_TEST_CASE(NoDeltaHasABaseOfAnEarlierEra, restored_platform) {
  const auto routes = [](char letter) {
    return Item("op", 6, std::string(9'000, letter));
  };
  catalog first;
  first.ApplyListing(std::vector{routes('a')}, 6, 4);
  first.ApplyUpdate({6, 7, {Item("op", 7, std::string(9'000, 'b'))}, 4});
  first.ApplyListing(std::vector{routes('c')}, 6, 5);
  first.ApplyUpdate({6, 7, {Item("op", 7, std::string(9'000, 'd'))}, 5});
  catalog second;
  second.ApplyListing(std::vector{routes('c')}, 6, 5);
  second.ApplyUpdate(first.UpdateAfter(6));
  BOOST_TEST((second.Position() == catalog_position{5, 7}));
  BOOST_TEST(*second.Find("op")->content == std::string(9'000, 'd'));
}

BOOST_AUTO_TEST_SUITE_END()
