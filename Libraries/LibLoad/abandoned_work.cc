#include "LibLoad/abandoned_work.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace wagtailmount {

namespace {

/// An abandoned request counts for this long at most, and if it is not known
/// how long its kind takes: a backend server that dropped it would idle.
constexpr std::chrono::seconds kLongestHold{1};
/// A backend server queues at least this part of its slots, as a divisor.
constexpr std::size_t kQueuedPartDivisor = 2;
/// In halves of the mean: an abandoned request takes its own time and, behind
/// as many as the backend server queues, half as much again.
constexpr int kHoldHalves = 3;
constexpr int kHalves = 2;

}  // namespace

void abandoned_work::Add(time_point now, duration mean) {
  ends_.erase(ends_.begin(), ends_.upper_bound(now));
  const duration hold =
      mean == duration::zero()
          ? duration{kLongestHold}
          : std::min<duration>(mean * kHoldHalves / kHalves, kLongestHold);
  ends_.insert(now + hold);
}

std::size_t abandoned_work::Held(time_point now) const {
  return static_cast<std::size_t>(
      std::distance(ends_.upper_bound(now), ends_.end()));
}

std::optional<time_point> abandoned_work::NextEnd(time_point now) const {
  const auto next = ends_.upper_bound(now);
  return next == ends_.end() ? std::nullopt : std::optional{*next};
}

bool HasFreeSlot(std::size_t slots, std::size_t running, std::size_t held) {
  return running < slots &&
         running + held <
             slots + std::max<std::size_t>(1, slots / kQueuedPartDivisor);
}

}  // namespace wagtailmount
