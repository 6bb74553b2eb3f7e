#include "LibLoad/saturation_controller.h"

#include <algorithm>

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;

/// A window has at least this length and number of markers. One marker alone
/// may have waited because the process was without a turn.
constexpr milliseconds kWindow{100};
constexpr int kMarkersPerWindow = 2;
/// A queue in which each marker waits for longer than this is a standing one:
/// an eighth of the shortest usual latency objective.
constexpr milliseconds kStandingWait{40};
/// The share rises quickly, since requests pile up meanwhile: by the wait's
/// part of this time, and at least by a tenth. It falls slowly, so that it
/// settles.
constexpr milliseconds kFullRiseWait{400};
constexpr double kLeastShareRise = 0.1;
constexpr double kShareFall = 0.05;
/// Some requests are always let through, which shows when the load has ended.
constexpr double kLargestShare = 0.95;

}  // namespace

void saturation_controller::RecordWait(time_point now, duration wait) {
  last_wait_ = wait;
  shortest_wait_ = std::min(shortest_wait_, wait);
  ++markers_;
  if (markers_ >= kMarkersPerWindow && now - window_began_ >= kWindow) {
    EndWindow(now);
  }
}

void saturation_controller::EndWindow(time_point now) {
  const double rise = std::max(
      kLeastShareRise, SecondsOf(shortest_wait_) / SecondsOf(kFullRiseWait));
  const double change = shortest_wait_ > kStandingWait ? rise : -kShareFall;
  refused_share_ = std::clamp(refused_share_ + change, 0.0, kLargestShare);
  // Rounding must not leave a trace of a share.
  if (refused_share_ < kShareFall / 2) {
    refused_share_ = 0.0;
  }
  window_began_ = now;
  shortest_wait_ = duration::max();
  markers_ = 0;
}

}  // namespace wagtailmount
