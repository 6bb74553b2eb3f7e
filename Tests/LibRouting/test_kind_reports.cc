// What owners report is kept apart for each kind of request.

#include <boost/test/unit_test.hpp>

#include "LibRouting/kind_places.h"
#include "LibRouting/upstream_choice.h"

using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

constexpr auto kRank = static_cast<request_priority>(1);

}  // namespace

BOOST_AUTO_TEST_SUITE(kind_reports_suite)

BOOST_AUTO_TEST_CASE(TheNumberOfAKindIsStable) {
  BOOST_TEST(KindOf("rates") == KindOf("rates"));
  BOOST_TEST(KindOf("rates") != KindOf("ledger"));
  BOOST_TEST(KindOf("") != kUnknownKind);
}

BOOST_AUTO_TEST_CASE(KindsWithoutAPlaceShareThatOfTheirRank) {
  manual_clock clock;
  kind_places places;
  for (request_kind kind = 1; kind <= kind_places::kOwnPlaces; ++kind) {
    BOOST_TEST(places.Take(clock.Now(), kRank, kind) ==
               kind_places::kRankPlaces + kind - 1);
  }
  BOOST_TEST(places.Take(clock.Now(), kRank, 100) == 1U);
  BOOST_TEST(places.Take(clock.Now(), kRank, kUnknownKind) == 1U);
  clock.Advance(seconds{6});
  BOOST_TEST(places.Take(clock.Now(), kRank, 100) >= kind_places::kRankPlaces);
}

// A full queue of long requests must not keep short ones away.
BOOST_AUTO_TEST_CASE(ALongKindThatIsFullDoesNotMakeAShortOneFull) {
  manual_clock clock;
  random_source random{1};
  upstream_chooser chooser{{"hall", "region"}};
  upstream candidate;
  candidate.vm = "vm";
  candidate.failure_domain = "hall";
  candidate.region = "region";
  const std::vector<upstream> upstreams{candidate};
  constexpr request_kind kLong = 7;
  constexpr request_kind kShort = 8;
  const auto choose = [&](request_kind kind) {
    return chooser.Choose(clock.Now(), upstreams, {}, seconds{0}, random,
                          {kRank, milliseconds{80}, milliseconds{80}, 0, kind});
  };
  choose(kLong);
  chooser.RecordReportedLoad(
      clock.Now(), "vm",
      {kRank, milliseconds{300}, milliseconds{110}, 9, milliseconds{1}, kLong});
  chooser.RecordReportedLoad(
      clock.Now(), "vm",
      {kRank, milliseconds{5}, milliseconds{21}, 9, milliseconds{1}, kShort});
  BOOST_TEST(!choose(kLong));
  BOOST_TEST(choose(kShort).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
