#include <boost/test/unit_test.hpp>

#include "LibSource/vm_list_reader.h"
#include "Tests/LibSource/fake_platform.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One reader and one fake platform on a manual clock. Checks that every list
/// delivered is the whole list at its revision.
struct list_fixture {
  manual_clock clock;
  random_source random{11};
  fake_platform platform{clock};
  read_budget budget{{"fsd-1", 2'000, 1}, clock.Now(), random};
  std::size_t lists_delivered = 0;
  std::uint64_t revision = 0;
  std::vector<std::string> vms;
  std::map<std::uint64_t, std::vector<std::string>> history;
  vm_list_reader reader{
      platform,
      budget,
      clock,
      random,
      {},
      [this](std::uint64_t at, const std::vector<vm_record>& records) {
        ++lists_delivered;
        revision = at;
        vms.clear();
        for (const auto& record : records) {
          vms.push_back(record.vm);
        }
        BOOST_TEST(vms == history.at(at), boost::test_tools::per_element());
      }};

  list_fixture() {
    platform.page_size = 2;
    SetVms({"a", "b", "c", "d", "e"});
    reader.SetReading(true);
  }

  void SetVms(const std::vector<std::string>& names) {
    platform.vms.clear();
    for (const auto& name : names) {
      vm_record record;
      record.vm = name;
      platform.vms.push_back(record);
    }
    history[++platform.vms_revision] = names;
  }

  void Run(duration period) {
    const time_point end = clock.Now() + period;
    while (clock.Now() < end) {
      clock.Advance(milliseconds{50});
      platform.Run();
      reader.Tick(clock.Now());
    }
  }
};

struct list_fault {
  const char* name;
  std::function<void(list_fixture&)> inject;
};

const list_fault kListFaults[] = {
    {"no fault", [](list_fixture&) {}},
    {"the list changes between two pages",
     [](list_fixture& fixture) {
       fixture.platform.before_page = [&fixture](std::size_t page) {
         if (page == 1) {
           fixture.platform.before_page = [](std::size_t) {};
           fixture.SetVms({"a", "c", "x"});
         }
       };
       fixture.Run(seconds{1});
       BOOST_TEST(fixture.reader.Counters().torn_reads == 1U);
     }},
    {"the platform is down for a while",
     [](list_fixture& fixture) {
       fixture.platform.fail_with = error{error_kind::kUnavailable, "down"};
       fixture.Run(seconds{60});
       fixture.platform.fail_with.reset();
     }},
    {"calls are never answered for a while",
     [](list_fixture& fixture) {
       fixture.platform.never_answers = true;
       fixture.Run(seconds{60});
       fixture.platform.never_answers = false;
     }},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(vm_list_reader_suite)

BOOST_AUTO_TEST_CASE(WholeListIsDeliveredAfterEveryFault) {
  for (const auto& fault : kListFaults) {
    BOOST_TEST_CONTEXT(fault.name) {
      list_fixture fixture;
      fault.inject(fixture);
      fixture.Run(seconds{130});
      std::vector<std::string> expected;
      for (const auto& record : fixture.platform.vms) {
        expected.push_back(record.vm);
      }
      BOOST_TEST(fixture.vms == expected, boost::test_tools::per_element());
      BOOST_TEST(fixture.revision == fixture.platform.vms_revision);
    }
  }
}

BOOST_AUTO_TEST_CASE(UnchangedListCostsOneCallPerPoll) {
  list_fixture fixture;
  fixture.Run(seconds{1});
  BOOST_TEST(fixture.lists_delivered == 1U);
  const auto calls = fixture.platform.calls;
  fixture.Run(seconds{600});
  BOOST_TEST(fixture.lists_delivered > 5U);
  BOOST_TEST(fixture.platform.calls - calls <= fixture.lists_delivered);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
