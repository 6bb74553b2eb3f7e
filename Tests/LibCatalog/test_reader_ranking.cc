#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "LibCatalog/reader_ranking.h"

using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

constexpr double kSlow = 5.0;
constexpr double kFast = 100.0;
constexpr std::size_t kMaxReported = 4;

// Simulates the nodes of one failure domain, each of which exchanges messages
// with the two VMs that it ranks first.
class simulated_failure_domain {
 public:
  explicit simulated_failure_domain(
      const std::map<std::string, double>& links) {
    for (const auto& [vm, megabits] : links) {
      vms_.push_back(vm);
      nodes_.emplace(vm, reader_ranking{vm, megabits});
    }
  }

  void ExchangeReports() {
    for (const std::string& vm : vms_) {
      for (const std::string& peer : FirstTwoFor(vm)) {
        if (peer != vm) {
          nodes_.at(peer).RecordFastVms(vm,
                                        nodes_.at(vm).FastVms(kMaxReported));
          nodes_.at(vm).RecordFastVms(peer,
                                      nodes_.at(peer).FastVms(kMaxReported));
        }
      }
    }
  }

  std::vector<std::string> FirstTwoFor(const std::string& vm) const {
    std::vector<std::string> order = vms_;
    nodes_.at(vm).Sort(order);
    order.resize(2);
    return order;
  }

  int SelfElectedReaderCount() const {
    return static_cast<int>(
        std::count_if(vms_.begin(), vms_.end(), [this](const std::string& vm) {
          return FirstTwoFor(vm).front() == vm;
        }));
  }

  const std::vector<std::string>& Vms() const { return vms_; }
  reader_ranking& Of(const std::string& vm) { return nodes_.at(vm); }

 private:
  std::vector<std::string> vms_;
  std::map<std::string, reader_ranking> nodes_;
};

std::map<std::string, double> Links(int slow, int fast) {
  std::map<std::string, double> links;
  for (int number = 0; number < slow + fast; ++number) {
    links["10.0.0." + std::to_string(number + 1)] =
        number < slow ? kSlow : kFast;
  }
  return links;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(reader_ranking_suite)

BOOST_AUTO_TEST_CASE(VmsWithFastLinksAreRankedFirst) {
  simulated_failure_domain domain{Links(16, 2)};
  for (int round = 0; round < 4; ++round) {
    domain.ExchangeReports();
  }
  const std::vector<std::string> fast{"10.0.0.17", "10.0.0.18"};
  for (const std::string& vm : domain.Vms()) {
    auto first = domain.FirstTwoFor(vm);
    std::sort(first.begin(), first.end());
    BOOST_TEST(first == fast, boost::test_tools::per_element());
  }
  BOOST_TEST(domain.SelfElectedReaderCount() == 1);
}

BOOST_AUTO_TEST_CASE(EqualLinksYieldOneReaderFromTheStart) {
  for (const auto& links : {Links(12, 0), Links(0, 12)}) {
    simulated_failure_domain domain{links};
    BOOST_TEST(domain.SelfElectedReaderCount() == 1);
    domain.ExchangeReports();
    BOOST_TEST(domain.SelfElectedReaderCount() == 1);
  }
}

BOOST_AUTO_TEST_CASE(AVmThatIsGoneIsForgotten) {
  simulated_failure_domain domain{Links(5, 1)};
  for (int round = 0; round < 4; ++round) {
    domain.ExchangeReports();
  }
  reader_ranking& node = domain.Of("10.0.0.1");
  BOOST_TEST(node.FastVms(kMaxReported).size() == 1U);
  node.KeepOnly(std::vector<std::string>{"10.0.0.1", "10.0.0.2"});
  BOOST_TEST(node.FastVms(kMaxReported).empty());
}

// The address of a VM with a fast link may be reused by one with a slow link,
// while other VMs still report it as fast.
BOOST_AUTO_TEST_CASE(AVmsOwnReportOverridesThoseOfOthers) {
  reader_ranking node{"a", kSlow};
  const std::vector<std::string> reported{"b", "c"};
  BOOST_TEST(node.RecordFastVms("b", reported));
  BOOST_TEST(!node.RecordFastVms("b", reported));
  BOOST_TEST(node.RecordFastVms("c", {}));
  BOOST_TEST(!node.RecordFastVms("b", reported));
  BOOST_TEST(node.FastVms(kMaxReported) == std::vector<std::string>{"b"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
