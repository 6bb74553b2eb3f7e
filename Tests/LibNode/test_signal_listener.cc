#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

#include "LibNode/signal_listener.h"

using std::chrono::milliseconds;
using namespace wagtailmount;  // NOLINT(google-build-using-namespace)

// Guards against a stop that begins, and so ends, late because the control
// thread was busy when the signal came.
BOOST_AUTO_TEST_CASE(ASignalCountsFromItsArrival) {
  const system_runtime_clock clock;
  boost::asio::io_context control{1};
  time_point handled_arrival{};
  int handled = 0;
  const signal_listener listener{
      {SIGUSR1}, clock, control, [&](int signal, time_point arrived_at) {
        handled = signal;
        handled_arrival = arrived_at;
      }};
  const time_point raised = clock.Now();
  std::raise(SIGUSR1);
  std::this_thread::sleep_for(milliseconds{400});
  const time_point free_again = clock.Now();
  while (handled == 0 && clock.Now() < free_again + std::chrono::seconds{2}) {
    control.restart();
    control.run_for(milliseconds{20});
  }
  BOOST_TEST(handled == SIGUSR1);
  BOOST_TEST((handled_arrival >= raised));
  BOOST_TEST((handled_arrival < free_again));
}
