#include <boost/test/unit_test.hpp>
#include <deque>

#include "LibLoad/saturation_controller.h"

using std::chrono::microseconds;
using std::chrono::milliseconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

namespace {

// A thread that handles events one after the other: each costs `service` time,
// a refused one a fifth of it. Markers queue among the events.
struct simulated_thread {
  struct event {
    time_point arrived;
    bool is_marker = false;
  };

  // Runs for `span` with an event each `gap`; returns the longest wait of an
  // event that arrived in the last half.
  duration Run(duration span, duration gap, duration service) {
    const time_point begin = clock.Now();
    duration longest{};
    time_point next = begin;
    while (clock.Now() < begin + span) {
      for (; next <= clock.Now(); next += gap) {
        queue.push_back({next, false});
        if (!has_marker) {
          queue.push_back({next, true});
          has_marker = true;
        }
      }
      if (queue.empty()) {
        clock.Advance(next - clock.Now());
        continue;
      }
      const event handled = queue.front();
      queue.pop_front();
      const duration wait = clock.Now() - handled.arrived;
      if (handled.is_marker) {
        controller.RecordWait(clock.Now(), wait);
        has_marker = false;
        continue;
      }
      if (handled.arrived > begin + span / 2) {
        longest = std::max(longest, wait);
      }
      const bool is_refused = controller.ShouldRefuse(random);
      refused += is_refused ? 1 : 0;
      served += is_refused ? 0 : 1;
      clock.Advance(is_refused ? service / 5 : service);
    }
    return longest;
  }

  manual_clock clock;
  random_source random{3};
  saturation_controller controller;
  std::deque<event> queue;
  bool has_marker = false;
  int refused = 0;
  int served = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(saturation_suite, simulated_thread)

BOOST_AUTO_TEST_CASE(AThreadBelowItsCapacityRefusesNothing) {
  Run(std::chrono::seconds{20}, microseconds{1'250}, milliseconds{1});
  BOOST_TEST(refused == 0);
}

// A process on a tenth of a core gets no turn for 0.4 s now and then.
BOOST_AUTO_TEST_CASE(APauseOfTheProcessRefusesNothing) {
  for (int pause = 0; pause < 20; ++pause) {
    Run(milliseconds{900}, milliseconds{5}, milliseconds{1});
    clock.Advance(milliseconds{400});
  }
  BOOST_TEST(refused == 0);
}

// Two and a half times what the thread can do, for 12 s: it stays busy with
// requests that it serves, and none waits for longer than a caller does before
// it abandons a request that isn't read.
BOOST_AUTO_TEST_CASE(ASaturatedThreadKeepsItsQueueShort) {
  const duration longest =
      Run(std::chrono::seconds{12}, microseconds{400}, milliseconds{1});
  BOOST_TEST(SecondsOf(longest) < 1.0);
  BOOST_TEST(served > 4'000);
  BOOST_TEST(controller.IsSaturated());
  refused = 0;
  Run(std::chrono::seconds{10}, microseconds{1'250}, milliseconds{1});
  BOOST_TEST(!controller.IsSaturated());
  refused = 0;
  Run(std::chrono::seconds{5}, microseconds{1'250}, milliseconds{1});
  BOOST_TEST(refused == 0);
}

BOOST_AUTO_TEST_SUITE_END()
