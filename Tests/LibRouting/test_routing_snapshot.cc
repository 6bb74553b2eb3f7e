#include <boost/test/unit_test.hpp>

#include "LibRouting/routing_snapshot.h"
#include "LibRouting/verdict.h"

using wagtailmount::Combine;
using wagtailmount::NameOf;
using wagtailmount::routing_snapshot;
using wagtailmount::service_upstreams;
using wagtailmount::verdict;

BOOST_AUTO_TEST_SUITE(routing_snapshot_suite)

BOOST_AUTO_TEST_CASE(UpstreamsAreFoundByServiceName) {
  const auto accepted = std::make_shared<const wagtailmount::configuration>(
      wagtailmount::configuration::contents{});
  const auto make = [](const char* name, std::size_t count) {
    service_upstreams made{name, {}};
    made.upstreams.resize(count);
    return std::make_shared<const service_upstreams>(made);
  };
  const routing_snapshot snapshot{accepted,
                                  {make("casefile", 5), make("ledger", 7)}};
  BOOST_TEST(snapshot.UpstreamsOf("casefile").size() == 5U);
  BOOST_TEST(snapshot.UpstreamsOf("ledger").size() == 7U);
  BOOST_TEST(snapshot.UpstreamsOf("handbook-web").empty());
  BOOST_TEST(snapshot.UpstreamsOf("").empty());
}

BOOST_AUTO_TEST_CASE(CombinedVerdictIsTheLessSafeToRepeat) {
  struct row {
    verdict first;
    verdict second;
    verdict combined;
  };
  const row rows[] = {
      {verdict::kNotRun, verdict::kNotRun, verdict::kNotRun},
      {verdict::kNotRun, verdict::kMayHaveRun, verdict::kMayHaveRun},
      {verdict::kMayHaveRun, verdict::kNotRun, verdict::kMayHaveRun},
      {verdict::kMayHaveRun, verdict::kRan, verdict::kRan},
      {verdict::kNotRun, verdict::kRan, verdict::kRan},
  };
  for (const row& each : rows) {
    BOOST_TEST(NameOf(Combine(each.first, each.second)) ==
               NameOf(each.combined));
  }
}

BOOST_AUTO_TEST_SUITE_END()
