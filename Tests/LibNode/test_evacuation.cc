// The evacuated failure domains as a node keeps them, in stepped time.

#include <boost/test/unit_test.hpp>

#include "Tests/LibNode/catalog_control_parts.h"

namespace wagtailmount {

namespace {

const std::vector<catalog_item>& Fleet() {
  static const std::vector<catalog_item> fleet{
      Entry("op", 10, "7"), Entry("s/i-1", 11, "10.0.0.1 ready"),
      Entry("s/i-2", 12, "10.0.0.2 ready yard"),
      Entry("s/i-3", 13, "10.0.0.3 ready barn")};
  return fleet;
}

catalog_item Evacuation(const std::string& failure_domain,
                        std::uint64_t revision, bool is_removed = false) {
  catalog_item item = Entry("e/" + failure_domain, revision, "{}");
  item.is_removed = is_removed;
  return item;
}

// A node in "hall" that has listed three upstreams in three failure domains.
struct evacuation_fixture : control_parts {
  void Start(const std::vector<catalog_item>& evacuations = {}) {
    control.SetLinkHub(hub);
    Step(0ms);
    auto items = Fleet();
    items.insert(items.end(), evacuations.begin(), evacuations.end());
    AnswerListing({20, items, false, 4});
    for (int tick = 0; tick < 16; ++tick) {
      Step(100ms);
    }
    BOOST_REQUIRE(control.IsServing());
  }

  void AwaitWatch() {
    for (int tick = 0; tick < 20 && source.watch == nullptr; ++tick) {
      Step(100ms);
    }
    BOOST_REQUIRE(source.watch != nullptr);
  }

  void Change(std::uint64_t revision, std::vector<catalog_item> items) {
    AwaitWatch();
    std::exchange(source.watch,
                  nullptr)(catalog_changes{revision, std::move(items), 4});
  }

  bool IsOwnEvacuated() const {
    return published->Own()->evacuated_since != time_point{};
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_suite, evacuation_fixture)

BOOST_AUTO_TEST_CASE(TwoEvacuationsOverlapAndEndOnTheirOwn) {
  Start();
  Change(21, {Evacuation("hall", 21), Evacuation("yard", 21)});
  BOOST_TEST(Available() == "i-3 ");
  BOOST_TEST(IsOwnEvacuated());
  Change(22, {Evacuation("hall", 22, true)});
  BOOST_TEST(Available() == "i-1 i-3 ");
  BOOST_TEST(!IsOwnEvacuated());
  BOOST_TEST((published->Own()->evacuation_ended_at != time_point{}));
  BOOST_TEST(Logged("evacuation-begun") == 2);
  BOOST_TEST(Logged("evacuation-ended") == 1);
  BOOST_TEST(Logged("evacuation-of-unknown-domain") == 0);
}

BOOST_AUTO_TEST_CASE(AllFailureDomainsCanBeEvacuated) {
  Start();
  Change(21, {Evacuation("hall", 21), Evacuation("yard", 21),
              Evacuation("barn", 21)});
  BOOST_TEST(Available().empty());
  BOOST_TEST(control.IsServing());
}

BOOST_AUTO_TEST_CASE(ANodeThatStartsDuringAnEvacuationKnowsIt) {
  Start({Evacuation("hall", 15)});
  BOOST_TEST(Available() == "i-2 i-3 ");
  BOOST_TEST(IsOwnEvacuated());
}

BOOST_AUTO_TEST_CASE(AnUnknownFailureDomainIsLoggedOnce) {
  Start();
  Change(21, {Evacuation("moon", 21)});
  Change(22, {Entry("s/i-2", 22, "10.0.0.2 draining yard")});
  BOOST_TEST(Available() == "i-1 i-3 ");
  BOOST_TEST(Logged("evacuation-of-unknown-domain") == 1);
}

// A backend server that registers in it later is not used.
BOOST_AUTO_TEST_CASE(AnUpstreamThatComesDuringAnEvacuationIsNotUsed) {
  Start();
  Change(21, {Evacuation("moon", 21)});
  Change(22, {Entry("s/i-4", 22, "10.0.0.4 ready moon")});
  BOOST_TEST(Available() == "i-1 i-2 i-3 ");
}

BOOST_AUTO_TEST_CASE(TheLastKnownSetHoldsWhileThePlatformFails) {
  Start();
  Change(21, {Evacuation("yard", 21)});
  for (int tick = 0; tick < 100; ++tick) {
    Step(100ms);
    if (source.watch != nullptr) {
      std::exchange(source.watch,
                    nullptr)(Fail(error_kind::kUnavailable, "down"));
    }
    if (source.listing != nullptr) {
      std::exchange(source.listing,
                    nullptr)(Fail(error_kind::kUnavailable, "down"));
    }
  }
  BOOST_TEST(control.PlatformFailures() > 1U);
  BOOST_TEST(Available() == "i-1 i-3 ");
}

// The platform was restored from a copy that has other evacuations.
BOOST_AUTO_TEST_CASE(TheListingOfANewEraDecides) {
  Start();
  Change(21, {Evacuation("yard", 21)});
  AwaitWatch();
  EndWatchWith(Fail(error_kind::kConflict, "compacted"));
  auto items = Fleet();
  items.push_back(Evacuation("barn", 14));
  AnswerListing({16, items, false, 5});
  BOOST_TEST(Available() == "i-1 i-2 ");
}

// The node was cut off while the evacuation was taken back: its next listing
// lacks the entry.
BOOST_AUTO_TEST_CASE(AnEvacuationTakenBackWhileCutOffEndsWithTheNextListing) {
  Start();
  Change(21, {Evacuation("yard", 21)});
  AwaitWatch();
  EndWatchWith(Fail(error_kind::kConflict, "compacted"));
  AnswerListing({30, Fleet(), false, 4});
  BOOST_TEST(Available() == "i-1 i-2 i-3 ");
  BOOST_TEST(Logged("evacuation-ended") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
