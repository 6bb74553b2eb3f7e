// The part of upstream_chooser that keeps failing upstreams out of use.
#include <algorithm>

#include "LibRouting/upstream_choice.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kFailuresToEject = 5;
constexpr seconds kFirstEjection{1};
constexpr seconds kLongestEjection{30};
constexpr std::uint32_t kMaxEjectionDoublings = 5;
// An unreachable upstream is tried again sooner: VMs are back after a second or
// two, and finding out takes one request a connection timeout.
constexpr milliseconds kFirstUnreachableEjection{500};
constexpr seconds kLongestUnreachableEjection{4};
// At most one in this many upstreams is ejected, however many fail.
constexpr std::size_t kEjectionFloorDivisor = 2;

}  // namespace

void upstream_chooser::RecordFailure(time_point now, observations& seen,
                                     attempt_signal signal) {
  ++seen.failures_in_row;
  const bool is_in_use = seen.ejected_until <= now;
  if (signal == attempt_signal::kUnreachable ||
      signal == attempt_signal::kOwnerDrains) {
    seen.is_unreachable = true;
    if (is_in_use) {
      Eject(now, seen);
    }
    return;
  }
  // A single failure ejects an upstream that has just returned from an
  // ejection.
  const bool is_ejected_at_once = seen.ejections_in_row > 0;
  if (is_in_use &&
      (seen.failures_in_row >= kFailuresToEject || is_ejected_at_once) &&
      MayEject(now)) {
    Eject(now, seen);
  }
}

bool upstream_chooser::IsEjected(time_point now, std::string_view vm) const {
  const observations* const seen = Find(vm);
  return seen != nullptr && seen->ejected_until > now;
}

bool upstream_chooser::MayEject(time_point now) const {
  const auto ejected = static_cast<std::size_t>(std::count_if(
      seen_.begin(), seen_.end(), [now](const observations& seen) {
        return !seen.is_evacuated && seen.ejected_until > now;
      }));
  const auto usable = static_cast<std::size_t>(std::count_if(
      seen_.begin(), seen_.end(),
      [](const observations& seen) { return !seen.is_evacuated; }));
  return (ejected + 1) * kEjectionFloorDivisor <= usable;
}

void upstream_chooser::Eject(time_point now, observations& seen) {
  const std::uint32_t doublings =
      std::min(seen.ejections_in_row, kMaxEjectionDoublings);
  const duration first = seen.is_unreachable
                             ? duration{kFirstUnreachableEjection}
                             : duration{kFirstEjection};
  const duration longest = seen.is_unreachable
                               ? duration{kLongestUnreachableEjection}
                               : duration{kLongestEjection};
  const duration time =
      std::min(first * (std::int64_t{1} << doublings), longest);
  ++seen.ejections_in_row;
  seen.failures_in_row = 0;
  seen.ejected_until = now + time;
  // After the ejection it goes through a slow start, as a new upstream does.
  seen.warming_since = seen.ejected_until;
}

}  // namespace wagtailmount
