// Crashes of backend servers, and which of the requests that ran are kept from
// running again.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "LibLoad/crash_ledger.h"
#include "LibLoad/crash_report_text.h"
#include "LibLoad/trial_upstream.h"

using namespace std::chrono_literals;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

request_fingerprint Request(const std::string& text) {
  return {HashOf(text.substr(0, 1)), DigestOf(text)};
}

// A ledger in stepped time.
struct ledger_fixture {
  void Crash(const std::string& text, std::uint64_t crash,
             std::uint32_t depth = 1, bool is_refuted = false) {
    const crash_report report{Request(text), crash, depth, is_refuted, 0ms};
    ledger.Merge(clock.Now(), {&report, 1});
  }

  // Runs a request that crashes backend server after backend server.
  void CrashOnceMore(const std::string& text, std::uint64_t crash) {
    Crash(text, crash, ledger.CrashesOf(Request(text)) + 1);
  }

  request_standing Standing(const std::string& text) const {
    return ledger.StandingOf(clock.Now(), Request(text));
  }

  manual_clock clock;
  crash_ledger ledger;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(crash_ledger_suite, ledger_fixture)

BOOST_AUTO_TEST_CASE(ARequestUnderWhichTwoBackendServersCrashedIsQuarantined) {
  CrashOnceMore("lethal", 1);
  BOOST_TEST((Standing("lethal") == request_standing::kAllowed));
  CrashOnceMore("lethal", 2);
  BOOST_TEST((Standing("lethal") == request_standing::kQuarantined));
  // Only the body differs.
  BOOST_TEST((Standing("lively") == request_standing::kAllowed));
}

// Many requests run at all backend servers that crash together.
BOOST_AUTO_TEST_CASE(RequestsThatRanAtSeveralOrdinaryCrashesAreAllowed) {
  for (std::uint64_t crash = 1; crash <= 5; ++crash) {
    Crash("popular", crash);
  }
  BOOST_TEST((Standing("popular") == request_standing::kAllowed));
}

BOOST_AUTO_TEST_CASE(AWholeAnswerSpeaksForARequest) {
  for (std::uint64_t crash = 1; crash <= 9; ++crash) {
    CrashOnceMore("sound", crash);
    BOOST_TEST((Standing("sound") == request_standing::kAllowed));
    ledger.Refute(clock.Now(), Request("sound"));
  }
  BOOST_TEST(!ledger.IsHeadKnown(Request("sound").head));
  // A report that arrives late does not take the answer back.
  Crash("sound", 9, 2);
  BOOST_TEST(ledger.CrashesOf(Request("sound")) == 0U);
}

BOOST_AUTO_TEST_CASE(ReportsMayArriveInAnyOrderAndMoreThanOnce) {
  std::vector<crash_report> reports{{Request("a"), 1, 1, false, 0ms},
                                    {Request("a"), 2, 2, false, 0ms},
                                    {Request("a"), 3, 2, false, 0ms},
                                    {Request("a"), 3, 3, false, 0ms},
                                    {Request("a"), 1, 1, true, 0ms}};
  std::vector<int> order{0, 1, 2, 3, 4};
  do {
    crash_ledger each;
    for (const int index : order) {
      each.Merge(clock.Now(), {&reports[index], 1});
    }
    BOOST_TEST(each.Merge(clock.Now(), reports).empty());
    BOOST_TEST(each.CrashesOf(Request("a")) == 2U);
    BOOST_TEST((each.StandingOf(clock.Now(), Request("a")) ==
                request_standing::kQuarantined));
  } while (std::next_permutation(order.begin(), order.end()));
}

// Each trial that crashes a backend server doubles the time to the next.
BOOST_AUTO_TEST_CASE(TrialsOfARequestThatGoesOnCrashingGetRare) {
  CrashOnceMore("lethal", 1);
  CrashOnceMore("lethal", 2);
  std::uint64_t crashes = 2;
  for (duration at{}; at < 24h; at += 1s) {
    if (Standing("lethal") == request_standing::kTrialDue) {
      ledger.BeginTrial(clock.Now(), Request("lethal"));
      BOOST_TEST((Standing("lethal") == request_standing::kQuarantined));
      CrashOnceMore("lethal", ++crashes);
    }
    clock.Advance(1s);
    if (at == 5min) {
      BOOST_TEST(crashes == 5U);
    }
  }
  BOOST_TEST(crashes < 40U);
}

BOOST_AUTO_TEST_CASE(ATrialThatIsAnsweredEndsTheQuarantine) {
  CrashOnceMore("sound", 1);
  CrashOnceMore("sound", 2);
  clock.Advance(30s);
  BOOST_TEST((Standing("sound") == request_standing::kTrialDue));
  const auto changed = ledger.Refute(clock.Now(), Request("sound"));
  BOOST_TEST(changed.size() == 2U);
  BOOST_TEST((Standing("sound") == request_standing::kAllowed));
}

BOOST_AUTO_TEST_CASE(MemoryIsBoundedAndKeepsTheMostCrashes) {
  CrashOnceMore("lethal", 1);
  CrashOnceMore("lethal", 2);
  for (std::uint64_t each = 0; each < 3 * crash_ledger::kMaximumRequests;
       ++each) {
    clock.Advance(1ms);
    Crash("request " + std::to_string(each), each);
    for (std::uint64_t crash = 0; crash < 20; ++crash) {
      Crash("restless", crash, 1, crash % 2 == 0);
    }
  }
  BOOST_TEST((Standing("lethal") == request_standing::kQuarantined));
  BOOST_TEST(ledger.Summary(clock.Now()).size() <=
             crash_ledger::kMaximumSummary);
  BOOST_TEST(ledger.ReportsOf(clock.Now(), Request("restless")).size() <=
             crash_ledger::kMaximumCrashesOfRequest);
  BOOST_TEST(ledger.Summary(clock.Now()).front().request.head ==
             Request("lethal").head);
}

// Each node passes on what is news to it. Nodes that can't keep all reports
// must not go on sending each other what they gave up.
BOOST_AUTO_TEST_CASE(MoreReportsThanAreKeptDoNotCirculate) {
  constexpr std::size_t kNodes = 3;
  constexpr std::uint64_t kRequests = 2 * crash_ledger::kMaximumRequests;
  std::vector<crash_ledger> nodes(kNodes);
  std::deque<std::pair<std::size_t, crash_report>> sent;  // To whom, and what.
  for (std::uint64_t each = 0; each < kRequests; ++each) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      sent.push_back({node, {Request("popular"), each, 1, false, 0ms}});
      sent.push_back(
          {node,
           {Request("request " + std::to_string(each)), 1, 1, false, 0ms}});
    }
  }
  std::size_t count = 0;
  for (; !sent.empty() && count < 100 * kRequests; ++count) {
    clock.Advance(1ms);
    const auto [node, report] = sent.front();
    sent.pop_front();
    for (const auto& news : nodes[node].Merge(clock.Now(), {&report, 1})) {
      for (std::size_t other = 0; other < kNodes; ++other) {
        if (other != node) {
          sent.emplace_back(other, news);
        }
      }
    }
  }
  BOOST_TEST(sent.empty());
}

BOOST_AUTO_TEST_CASE(ReportsAge) {
  CrashOnceMore("lethal", 1);
  CrashOnceMore("lethal", 2);
  CrashOnceMore("suspect", 3);
  clock.Advance(11min);
  CrashOnceMore("other", 4);
  BOOST_TEST(ledger.CrashesOf(Request("suspect")) == 0U);
  BOOST_TEST(ledger.CrashesOf(Request("lethal")) == 2U);
  clock.Advance(2h);
  CrashOnceMore("other", 5);
  BOOST_TEST(ledger.CrashesOf(Request("lethal")) == 0U);
  const crash_report old{Request("old"), 3, 1, false, 3h};
  BOOST_TEST(ledger.Merge(clock.Now(), {&old, 1}).empty());
}

BOOST_AUTO_TEST_CASE(ReportsOfOneRequestAreWrittenAndReadBack) {
  CrashOnceMore("lethal", ~std::uint64_t{0});
  clock.Advance(70ms);
  CrashOnceMore("lethal", 2);
  const std::string text =
      FormatCrashReports(ledger.ReportsOf(clock.Now(), Request("lethal")));
  BOOST_TEST(text == "2 2 0 0,18446744073709551615 1 0 70");
  const auto read = ParseCrashReports(text, Request("lethal"));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(ledger.Merge(clock.Now(), *read).empty());
  for (const char* malformed :
       {"1", "1 1 0", "1 1 2 5", "1 1 0 -5", "1 4294967296 0 5", "1 1 0 5 ",
        ",1 1 0 5", "x 1 0 5", "18446744073709551616 1 0 5",
        "1 1 0 1,2 1 0 1,3 1 0 1,4 1 0 1,5 1 0 1,6 1 0 1,7 1 0 1,8 1 0 1,"
        "9 1 0 1,10 1 0 1,11 1 0 1"}) {
    BOOST_TEST(!ParseCrashReports(malformed, Request("lethal")).has_value(),
               malformed);
  }
}

BOOST_AUTO_TEST_CASE(ATrialTakesPlaceAtTheSameUpstreamForAllNodes) {
  std::vector<upstream> upstreams(9);
  for (std::size_t index = 0; index < upstreams.size(); ++index) {
    upstreams[index].vm = "vm-" + std::to_string(index);
  }
  const std::string chosen = TrialUpstream(upstreams, Request("lethal"))->vm;
  std::reverse(upstreams.begin(), upstreams.end());
  BOOST_TEST(TrialUpstream(upstreams, Request("lethal"))->vm == chosen);
  for (upstream& each : upstreams) {
    each.is_leaving = each.vm == chosen;
  }
  BOOST_TEST(TrialUpstream(upstreams, Request("lethal"))->vm != chosen);
  BOOST_TEST(TrialUpstream({}, Request("lethal")) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
