#include <boost/test/unit_test.hpp>

#include "Tests/LibSource/simulated_fleet.h"

// Measures how many calls whole fleets of different sizes make to the platform.

namespace wagtailmount {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kFleetSizes[] = {50, 400, 3'200};
constexpr std::size_t kFiles = 300;

void PublishFiles(simulated_fleet& fleet) {
  fake_platform::folder files;
  for (std::size_t i = 0; i < kFiles; ++i) {
    files["file-" + std::to_string(i)] = "content " + std::to_string(i);
  }
  fleet.platform.Publish(std::move(files));
}

/// Returns the mean calls per second over `period`, with one edit every four
/// seconds, which is about the rate of 23,000 edits a day.
double SteadyCallsPerSecond(simulated_fleet& fleet, seconds period) {
  constexpr seconds kEditPeriod{4};
  const auto before = fleet.platform.calls;
  for (seconds passed{0}; passed < period; passed += kEditPeriod) {
    fleet.platform.Put("file-7",
                       "edited after " + std::to_string(passed.count()));
    fleet.Run(kEditPeriod);
  }
  return static_cast<double>(fleet.platform.calls - before) /
         static_cast<double>(period.count());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_of_readers_suite)

BOOST_AUTO_TEST_CASE(SteadyCallRateDoesNotGrowWithTheFleet) {
  double rate_of_smallest_fleet = 0;
  for (const std::size_t size : kFleetSizes) {
    simulated_fleet fleet(size);
    PublishFiles(fleet);
    fleet.Run(minutes{4}, simulated_fleet::kLongStep);
    const double rate = SteadyCallsPerSecond(fleet, seconds{60});
    BOOST_TEST_MESSAGE(size << " nodes: " << fleet.ReaderCount() << " readers, "
                            << rate << " calls/s with an edit every 4 s");
    rate_of_smallest_fleet =
        rate_of_smallest_fleet == 0 ? rate : rate_of_smallest_fleet;
    BOOST_TEST(rate <= 1.3 * rate_of_smallest_fleet);
    BOOST_TEST(rate <= 0.1 * simulated_fleet::kPlatformCallsPerSecond);
    BOOST_TEST(fleet.ConfirmedRevision() == fleet.platform.Revision());
  }
}

BOOST_AUTO_TEST_CASE(CallRateStaysUnderLimitWhenAllNodesReadFromTheStart) {
  for (const std::size_t size : kFleetSizes) {
    simulated_fleet fleet(size);
    PublishFiles(fleet);
    fleet.ForceAllToRead(true);
    fleet.Run(minutes{2});
    BOOST_TEST_MESSAGE(size << " nodes, all reading from the start: at most "
                            << fleet.platform.max_calls_per_second
                            << " calls in a second");
    BOOST_TEST(fleet.platform.max_calls_per_second <=
               simulated_fleet::kPlatformCallsPerSecond);
  }
}

BOOST_AUTO_TEST_CASE(CallRateStaysUnderLimitWhenIdleNodesStartReadingTogether) {
  for (const std::size_t size : kFleetSizes) {
    simulated_fleet fleet(size);
    PublishFiles(fleet);
    fleet.Run(minutes{10}, simulated_fleet::kLongStep);
    fleet.ForceAllToRead(true);
    fleet.Run(minutes{1});
    BOOST_TEST(fleet.platform.max_calls_per_second <=
               simulated_fleet::kPlatformCallsPerSecond);
  }
}

BOOST_AUTO_TEST_CASE(SimultaneousRestartReadsNewestFolderWithinLimit) {
  for (const std::size_t size : kFleetSizes) {
    simulated_fleet fleet(size);
    PublishFiles(fleet);
    fleet.Run(minutes{4}, simulated_fleet::kLongStep);
    fleet.platform.Put("file-8", "published before the restart");
    fleet.platform.max_calls_per_second = 0;
    fleet.RestartAll();
    int seconds_waited = 0;
    while (fleet.ConfirmedRevision() != fleet.platform.Revision() &&
           seconds_waited < 120) {
      fleet.Run(seconds{1});
      ++seconds_waited;
    }
    BOOST_TEST_MESSAGE(size << " nodes restarted at once: at most "
                            << fleet.platform.max_calls_per_second
                            << " calls in a second, newest folder read after "
                            << seconds_waited << " s");
    BOOST_TEST(fleet.ConfirmedRevision() == fleet.platform.Revision());
    BOOST_TEST(fleet.platform.max_calls_per_second <=
               simulated_fleet::kPlatformCallsPerSecond);
  }
}

BOOST_AUTO_TEST_CASE(
    CallRateStaysUnderLimitDuringAndAfterAnOutageOfHalfAnHour) {
  for (const std::size_t size : kFleetSizes) {
    simulated_fleet fleet(size);
    PublishFiles(fleet);
    fleet.Run(minutes{4}, simulated_fleet::kLongStep);
    fleet.platform.fail_with = error{error_kind::kUnavailable, "outage"};
    fleet.platform.max_calls_per_second = 0;
    fleet.Run(minutes{30}, simulated_fleet::kLongStep);
    const auto max_calls_in_outage = fleet.platform.max_calls_per_second;
    const std::size_t readers = fleet.ReaderCount();
    fleet.platform.fail_with.reset();
    fleet.platform.Put("file-9", "published after the outage");
    fleet.platform.max_calls_per_second = 0;
    int seconds_waited = 0;
    while (fleet.ConfirmedRevision() != fleet.platform.Revision() &&
           seconds_waited < 120) {
      fleet.Run(seconds{1});
      ++seconds_waited;
    }
    fleet.Run(minutes{1});
    const double rate = SteadyCallsPerSecond(fleet, seconds{40});
    BOOST_TEST_MESSAGE(size << " nodes: during the outage " << readers
                            << " readers and at most " << max_calls_in_outage
                            << " calls in a second; after it at most "
                            << fleet.platform.max_calls_per_second
                            << ", newest folder read after " << seconds_waited
                            << " s, then " << rate << " calls/s");
    BOOST_TEST(max_calls_in_outage <= simulated_fleet::kPlatformCallsPerSecond);
    BOOST_TEST(fleet.platform.max_calls_per_second <=
               simulated_fleet::kPlatformCallsPerSecond);
    BOOST_TEST(seconds_waited <= 60);
    BOOST_TEST(fleet.ReaderCount() <= 50U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
