// What owners tell of their load, in the choice of upstreams.
#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

#include "LibRouting/distant_offer.h"
#include "LibRouting/upstream_choice.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// For so long the load that an owner told goes before own observations.
constexpr seconds kToldTime{3};
// In that time half of the wait that was told has been worked off. Source: the
// order of a burst's length; asking sooner is mostly in vain.
constexpr milliseconds kToldHalfLife{1'000};
// The weight of the newest overhead, as a divisor.
constexpr int kOverheadWeight = 4;
// How much longer than told a service may take. Source: as owners reckon.
constexpr double kLongService = 1.25;
// Owners with a free slot or nearly so tell a wait below this.
constexpr milliseconds kLeastWait{10};
// How much sooner the answer to a request that is late already must be expected
// from farther away: by the distance. Source: what a caller notices, a good
// part of the usual objectives of half a second.
constexpr std::array<milliseconds, 3> kDistanceCost{
    milliseconds{0}, milliseconds{150}, milliseconds{400}};
// The distance from which another region begins.
constexpr std::size_t kElsewhere = 2;

}  // namespace

void upstream_chooser::Told(time_point now, std::string_view vm,
                            const told_load& load) {
  if (observations* const seen = Find(vm)) {
    seen->told[IndexOf(load.rank)] = {load.wait, load.service, now, 0};
    seen->told_slots = std::max(1U, load.slots);
    seen->overhead += (load.overhead - seen->overhead) / kOverheadWeight;
  }
}

std::size_t upstream_chooser::IndexOf(request_priority rank) const {
  return std::min<std::size_t>(
      static_cast<std::size_t>(rank),
      std::tuple_size_v<decltype(observations::told)> - 1);
}

bool upstream_chooser::IsTold(time_point now, const observations& seen) const {
  const auto& told = seen.told[IndexOf(wish_.rank)];
  return told.at != time_point{} && now - told.at < kToldTime &&
         told.service > duration::zero();
}

double upstream_chooser::ToldService(const observations& seen) const {
  return SecondsOf(seen.told[IndexOf(wish_.rank)].service);
}

double upstream_chooser::ToldWait(time_point now,
                                  const observations& seen) const {
  const auto& told = seen.told[IndexOf(wish_.rank)];
  const double kept =
      std::exp2(-SecondsOf(now - told.at) / SecondsOf(kToldHalfLife));
  return SecondsOf(told.wait) * kept +
         ToldService(seen) * told.begun_since / seen.told_slots;
}

bool upstream_chooser::IsFull(time_point now, const observations& seen) const {
  if (wish_.longest_wait == duration::max() || !IsTold(now, seen)) {
    return false;
  }
  // As its owner would decide: the wait and then a long service end before the
  // objective.
  double longest = SecondsOf(wish_.longest_wait);
  if (wish_.objective_left > duration::zero()) {
    longest -= kLongService * ToldService(seen);
  }
  return ToldWait(now, seen) >= std::max(longest, SecondsOf(kLeastWait));
}

bool upstream_chooser::IsTimelyEnough(double near_seconds, double far_seconds,
                                      std::size_t distance) const {
  if (wish_.objective_left <= duration::zero()) {
    return far_seconds + SecondsOf(kDistanceCost[distance]) < near_seconds;
  }
  const auto time_of = [](double seconds_long) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds_long));
  };
  return IsWorthItsBytes({.near_time = time_of(near_seconds),
                          .far_time = time_of(far_seconds),
                          .objective_left = wish_.objective_left,
                          .bytes = wish_.bytes,
                          .leaves_region = distance == kElsewhere});
}

}  // namespace wagtailmount
