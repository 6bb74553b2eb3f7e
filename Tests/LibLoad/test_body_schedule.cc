// Large bodies on the link of a VM, in stepped time.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <vector>

#include "LibLoad/body_schedule.h"

using namespace wagtailmount;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kLink = 1'250'000;  // 10 Mbit/s.
constexpr std::uint64_t kBody = 60'000;
constexpr std::chrono::seconds kDeadline{1};
const time_point kStart{std::chrono::seconds{1'000}};

std::optional<body_transfer> Reserve(body_schedule& schedule, time_point now,
                                     std::uint64_t bytes, duration left) {
  return schedule.Reserve(now, bytes, now + left, now + left);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(body_schedule_suite)

BOOST_AUTO_TEST_CASE(ABurstAboveTheLinkIsRefusedBeyondItsDeadline) {
  body_schedule schedule{kLink};
  std::vector<body_transfer> granted;
  for (int count = 0; count < 126; ++count) {
    const auto transfer = Reserve(schedule, kStart, kBody, kDeadline);
    if (transfer) {
      granted.push_back(*transfer);
    }
  }
  // At 60 of 100 of the link, 12.5 such bodies cross it in a second.
  BOOST_TEST(granted.size() >= 9U);
  BOOST_TEST(granted.size() <= 12U);
  for (std::size_t each = 1; each < granted.size(); ++each) {
    BOOST_TEST((granted[each].begin >= granted[each - 1].end));
    BOOST_TEST((granted[each].end <= kStart + kDeadline));
  }
}

// Queues on a link of stepped time what the granted senders put on it, piece by
// piece, beside small requests.
BOOST_AUTO_TEST_CASE(SmallRequestsBesideUploadsWaitNoLongerThanTheirShare) {
  constexpr milliseconds kAllowedWait{20};  // Of a call's 250 ms.
  constexpr std::uint64_t kSmallBytes = 1'000;
  constexpr milliseconds kSmallEvery{4};
  body_schedule schedule{kLink};
  std::vector<body_transfer> turns;
  for (int count = 0; count < 126; ++count) {
    const std::uint64_t bytes = count % 10 == 0 ? 360'000 : 45'000;
    const auto arrival = kStart + milliseconds{8 * count};
    const auto turn = Reserve(schedule, arrival, bytes, 2 * kDeadline);
    if (turn) {
      turns.push_back(*turn);
    }
  }
  BOOST_REQUIRE(!turns.empty());
  const std::uint64_t piece = PieceBytes(turns.front().bytes_a_second);
  const milliseconds piece_every{1'000 * piece / turns.front().bytes_a_second};
  double queued = 0.0;
  double longest_seconds = 0.0;
  for (milliseconds at{0}; at < 3 * kDeadline; at += milliseconds{1}) {
    const time_point now = kStart + at;
    queued = std::max(0.0, queued - static_cast<double>(kLink) / 1'000.0);
    for (const body_transfer& turn : turns) {
      const bool sends =
          now >= turn.begin && now < turn.end &&
          (now - turn.begin) / milliseconds{1} % piece_every.count() == 0;
      queued += sends ? static_cast<double>(piece) : 0.0;
    }
    if (at % kSmallEvery == milliseconds{0}) {
      queued += static_cast<double>(kSmallBytes);
      longest_seconds =
          std::max(longest_seconds, queued / static_cast<double>(kLink));
    }
  }
  BOOST_TEST(longest_seconds <= SecondsOf(kAllowedWait));
}

BOOST_AUTO_TEST_CASE(ASenderThatStallsLosesItsTurnAtItsEnd) {
  body_schedule schedule{kLink};
  const auto stalled = Reserve(schedule, kStart, kBody, kDeadline);
  BOOST_REQUIRE(stalled.has_value());
  const auto next = Reserve(schedule, kStart, kBody, kDeadline);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((next->begin == stalled->end));
}

BOOST_AUTO_TEST_CASE(ATransferThatEndsEarlyGivesItsTurnBack) {
  body_schedule schedule{kLink};
  const auto first = Reserve(schedule, kStart, kBody, kDeadline);
  BOOST_REQUIRE(first.has_value());
  schedule.Release(kStart + milliseconds{5}, *first);
  const auto next =
      Reserve(schedule, kStart + milliseconds{6}, kBody, kDeadline);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((next->begin == kStart + milliseconds{6}));
}

BOOST_AUTO_TEST_CASE(ABodyThatWouldWaitForTooLongIsRefused) {
  body_schedule schedule{kLink};
  BOOST_REQUIRE(Reserve(schedule, kStart, kBody, kDeadline).has_value());
  const auto latest_begin = kStart + milliseconds{50};
  BOOST_TEST(!schedule.Reserve(kStart, kBody, latest_begin, kStart + kDeadline)
                  .has_value());
}

BOOST_AUTO_TEST_CASE(ALinkOfUnknownRateIsNotBounded) {
  body_schedule schedule{0};
  for (int count = 0; count < 1'000; ++count) {
    const auto transfer = Reserve(schedule, kStart, kBody, kDeadline);
    BOOST_REQUIRE(transfer.has_value());
    BOOST_TEST((transfer->begin == kStart));
    BOOST_TEST(transfer->bytes_a_second == 0U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
