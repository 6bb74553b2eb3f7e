#include <boost/test/unit_test.hpp>

#include "LibSource/vm_list_reader.h"
#include "Tests/LibSource/fake_platform.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One reader and one fake platform on a manual clock. Checks that every list
/// delivered is the whole list at its revision.
struct list_rig {
  manual_clock clock;
  random_source random{11};
  fake_platform platform{clock};
  read_budget budget{{"fsd-1", 2'000, 1}, clock.Now(), random};
  std::size_t lists = 0;
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
        ++lists;
        revision = at;
        vms.clear();
        for (const auto& record : records) {
          vms.push_back(record.vm);
        }
        BOOST_TEST(vms == history.at(at), boost::test_tools::per_element());
      }};

  list_rig() {
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
  std::function<void(list_rig&)> provoke;
};

const list_fault kListFaults[] = {
    {"no fault", [](list_rig&) {}},
    {"the list changes between two pages",
     [](list_rig& rig) {
       rig.platform.before_page = [&rig](std::size_t page) {
         if (page == 1) {
           rig.platform.before_page = [](std::size_t) {};
           rig.SetVms({"a", "c", "x"});
         }
       };
       rig.Run(seconds{1});
       BOOST_TEST(rig.reader.Counters().torn_reads == 1U);
     }},
    {"the platform is down for a while",
     [](list_rig& rig) {
       rig.platform.fail_with = error{error_kind::kUnavailable, "down"};
       rig.Run(seconds{60});
       rig.platform.fail_with.reset();
     }},
    {"calls are never answered for a while",
     [](list_rig& rig) {
       rig.platform.swallows_calls = true;
       rig.Run(seconds{60});
       rig.platform.swallows_calls = false;
     }},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(vm_list_reader_suite)

BOOST_AUTO_TEST_CASE(EveryFaultEndsInTheWholeList) {
  for (const auto& fault : kListFaults) {
    BOOST_TEST_CONTEXT(fault.name) {
      list_rig rig;
      fault.provoke(rig);
      rig.Run(seconds{130});
      std::vector<std::string> expected;
      for (const auto& record : rig.platform.vms) {
        expected.push_back(record.vm);
      }
      BOOST_TEST(rig.vms == expected, boost::test_tools::per_element());
      BOOST_TEST(rig.revision == rig.platform.vms_revision);
    }
  }
}

BOOST_AUTO_TEST_CASE(AnUnchangedListCostsOneCallALook) {
  list_rig rig;
  rig.Run(seconds{1});
  BOOST_TEST(rig.lists == 1U);
  const auto calls = rig.platform.calls;
  rig.Run(seconds{600});
  BOOST_TEST(rig.lists > 5U);
  BOOST_TEST(rig.platform.calls - calls <= rig.lists);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
