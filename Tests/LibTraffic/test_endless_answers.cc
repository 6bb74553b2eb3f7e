// Backend servers that send bytes without end, in a head or a body, until the
// node closes the connection.

#include <sys/resource.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "Tests/LibTraffic/traffic_fixture.h"

using namespace wagtailmount::testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using wagtailmount::endpoint;

// Freed memory that the address sanitizer holds back would count as held.
extern "C" const char* __asan_default_options();
extern "C" const char* __asan_default_options() {
  return "quarantine_size_mb=1";
}

namespace {

constexpr milliseconds kDeadline{600};
// A caller may get the end of an answer this long after its deadline.
constexpr milliseconds kMaximumPastDeadline{500};
// What a node may hold of one answer, and some more for the rest of the
// process. The backend server sends hundreds of MiB within the deadline.
constexpr long kMaximumGrowthKilobytes = 16 * 1024;

long PeakMemoryKilobytes() {
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  return used.ru_maxrss;
}

fixture_options Options() {
  fixture_options options;
  options.attempts = 1;
  options.deadline = kDeadline;
  options.may_end_with_connection = true;
  return options;
}

struct endless_fixture : traffic_fixture {
  endless_fixture() : traffic_fixture(1, Options()) {
    Publish();
    // Allocates what the first request needs.
    Call(Entry().caller_address, "GET", "/");
  }

  // No answer begins: the caller gets a refusal in time.
  void CheckThatItIsRefused(const endpoint& node,
                            const std::string& behaviour) {
    BOOST_TEST_CONTEXT(behaviour) {
      const long memory_before = PeakMemoryKilobytes();
      const auto begin = steady_clock::now();
      const auto answer =
          Call(node, "GET", "/", "X-Fake: " + behaviour + "\r\n");
      const auto taken = steady_clock::now() - begin;
      BOOST_TEST((taken <= kDeadline + kMaximumPastDeadline));
      BOOST_TEST(answer.status >= 500);
      BOOST_TEST(answer.Field("Wagtailmount-Verdict") == "may-have-run");
      CheckThatNothingIsLeft(memory_before);
    }
  }

  // The answer begins, and is cut so that it does not look complete.
  void CheckThatItIsCut(const endpoint& node, const std::string& behaviour) {
    BOOST_TEST_CONTEXT(behaviour) {
      const long memory_before = PeakMemoryKilobytes();
      test_caller caller{node};
      caller.Send("GET / HTTP/1.1\r\nHost: ledger\r\nX-Fake: " + behaviour +
                  "\r\n\r\n");
      const auto last = caller.Discard(kDeadline + kMaximumPastDeadline);
      BOOST_TEST(last.has_value());
      BOOST_TEST((!last || !last->ends_with("0\r\n\r\n")));
      CheckThatNothingIsLeft(memory_before);
    }
  }

  void CheckThatNothingIsLeft(long memory_before) {
    BOOST_TEST(PeakMemoryKilobytes() - memory_before <=
               kMaximumGrowthKilobytes);
    BOOST_TEST(Eventually(
        [&] { return Owner(1).backend_server->EndlessAnswers() == 0; }));
    BOOST_TEST(Eventually(
        [&] { return Owner(1).server->IsIdle() && Entry().server->IsIdle(); }));
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(endless_answers_suite, endless_fixture)

BOOST_AUTO_TEST_CASE(AnEndlessHeadEndsInBoundedMemoryAndTime) {
  for (const char* const behaviour :
       {"endless-status-line", "endless-header", "endless-headers",
        "endless-interim", "endless-garbage"}) {
    CheckThatItIsRefused(Entry().caller_address, behaviour);
    CheckThatItIsRefused(Owner(1).caller_address, behaviour);
  }
}

BOOST_AUTO_TEST_CASE(AnEndlessPartOfAFramingEndsInBoundedMemoryAndTime) {
  for (const char* const behaviour :
       {"endless-chunk-extension", "endless-trailer", "endless-trailers"}) {
    CheckThatItIsRefused(Entry().caller_address, behaviour);
    CheckThatItIsRefused(Owner(1).caller_address, behaviour);
  }
}

// A caller that goes on reading must not keep it going.
BOOST_AUTO_TEST_CASE(AnEndlessBodyEndsInBoundedMemoryAndTime) {
  for (const char* const behaviour :
       {"endless-chunks", "endless-body", "endless-until-close"}) {
    CheckThatItIsCut(Entry().caller_address, behaviour);
    CheckThatItIsCut(Owner(1).caller_address, behaviour);
  }
}

// The answer is whole; what follows belongs to no request.
BOOST_AUTO_TEST_CASE(BytesWithoutEndAfterAnAnswerAreLeftUnread) {
  const long memory_before = PeakMemoryKilobytes();
  for (int call = 0; call < 3; ++call) {
    const auto answer = Call(Entry().caller_address, "GET", "/",
                             "X-Fake: endless-after-answer\r\n");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == "hello");
  }
  BOOST_TEST(PeakMemoryKilobytes() - memory_before <= kMaximumGrowthKilobytes);
  BOOST_TEST(Eventually([&] { return Owner(1).server->IsIdle(); }));
}

BOOST_AUTO_TEST_SUITE_END()
