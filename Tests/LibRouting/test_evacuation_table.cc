#include <boost/test/unit_test.hpp>

#include "LibRouting/evacuation_table.h"

using std::chrono::seconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_SUITE(evacuation_table_suite)

BOOST_AUTO_TEST_CASE(OverlappingEvacuationsBeginAndEndOnTheirOwn) {
  using change = evacuation_table::change;
  using changes = std::vector<change>;
  manual_clock clock;
  evacuation_table table;
  const time_point first = clock.Now();
  BOOST_TEST((table.Update(first, {"hall"}) == changes{{"hall", true}}));
  clock.Advance(seconds{1});
  BOOST_TEST(
      (table.Update(clock.Now(), {"hall", "yard"}) == changes{{"yard", true}}));
  BOOST_TEST((table.Since("hall") == first));
  BOOST_TEST((table.Since("yard") == clock.Now()));
  clock.Advance(seconds{1});
  BOOST_TEST((table.Update(clock.Now(), {"yard"}) == changes{{"hall", false}}));
  BOOST_TEST(!table.IsEvacuated("hall"));
  BOOST_TEST(table.IsEvacuated("yard"));
  BOOST_TEST((table.EndedAt("hall") == clock.Now()));
  BOOST_TEST((table.Since("hall") == time_point{}));
  BOOST_TEST(table.Update(clock.Now(), {"yard"}).empty());
  table.Update(clock.Now(), {"hall", "yard"});
  BOOST_TEST((table.EndedAt("hall") == time_point{}));
  BOOST_TEST(table.Names().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
