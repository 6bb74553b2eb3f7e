// The part of upstream_chooser that uses the load reported by owners.
#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

#include "LibRouting/distant_offer.h"
#include "LibRouting/timely_wait.h"
#include "LibRouting/upstream_choice.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Reported load takes precedence over this thread's observations for this long.
constexpr seconds kToldTime{3};
// The weight of reported load halves in this time: an owner's own report gives
// way to the average of its failure domain, and that average decays to no wait.
// Bursts last about as long; a full owner that is asked again sooner mostly
// refuses again.
constexpr milliseconds kToldHalfLife{1'000};
// Weight of the newest sample in the smoothed overhead, as a divisor.
constexpr int kOverheadWeight = 4;
// Owners that have a free slot, or soon will, report a wait below this.
constexpr milliseconds kLeastWait{10};
// By distance: how much sooner a farther upstream must be expected to answer to
// get a request that has already missed its objective. Callers notice such a
// difference: it is a good part of the usual objective of half a second.
constexpr std::array<milliseconds, 3> kDistanceCost{
    milliseconds{0}, milliseconds{150}, milliseconds{400}};
// The distance of an upstream in another region.
constexpr std::size_t kElsewhere = 2;

// Weight of the newest report in the average of a failure domain, as a divisor.
// The same as for the latency of a single upstream.
constexpr int kDomainWeight = 4;

bool IsRecent(time_point now, time_point at) {
  return at != time_point{} && now - at < kToldTime;
}

// Returns the weight, 0 to 1, that a report of time `at` still has.
double KeptShare(time_point now, time_point at) {
  return std::exp2(-SecondsOf(now - at) / SecondsOf(kToldHalfLife));
}

}  // namespace

void upstream_chooser::Told(time_point now, std::string_view vm,
                            const told_load& load) {
  if (observations* const seen = Find(vm)) {
    seen->told[IndexOf(load.rank)] = {load.wait, load.service, now, 0};
    seen->told_slots = std::max(1U, load.slots);
    seen->overhead += (load.overhead - seen->overhead) / kOverheadWeight;
    TellDomain(now, *seen, load);
  }
}

std::size_t upstream_chooser::IndexOf(request_priority rank) const {
  return std::min<std::size_t>(
      static_cast<std::size_t>(rank),
      std::tuple_size_v<decltype(observations::told)> - 1);
}

std::size_t upstream_chooser::PlaceOfDomain(const std::string& name) {
  const auto found = std::find_if(
      domains_.begin(), domains_.end(),
      [&name](const domain_observations& each) { return each.name == name; });
  const auto place = static_cast<std::size_t>(found - domains_.begin());
  if (found == domains_.end()) {
    domains_.push_back({.name = name, .told = {}, .failure_share = 0.0});
  }
  return place;
}

// Averages the reports, since the owners of one failure domain differ.
void upstream_chooser::TellDomain(time_point now, const observations& seen,
                                  const told_load& load) {
  told_wait& told = domains_[seen.domain].told[IndexOf(load.rank)];
  if (!IsRecent(now, told.at)) {
    told = {load.wait, load.service, now, 0};
    return;
  }
  const duration before =
      std::chrono::duration_cast<duration>(told.wait * KeptShare(now, told.at));
  told.wait = before + (load.wait - before) / kDomainWeight;
  told.service += (load.service - told.service) / kDomainWeight;
  told.at = now;
}

// Returns whether the owner itself reported its load recently.
bool upstream_chooser::HasToldOfLate(time_point now,
                                     const observations& seen) const {
  return IsRecent(now, seen.told[IndexOf(wish_.rank)].at);
}

// Returns the owner's own report if it is recent, else the average of its
// failure domain, which may be old as well.
const upstream_chooser::told_wait& upstream_chooser::LastTold(
    time_point now, const observations& seen) const {
  const std::size_t rank = IndexOf(wish_.rank);
  return HasToldOfLate(now, seen) ? seen.told[rank]
                                  : domains_[seen.domain].told[rank];
}

bool upstream_chooser::IsTold(time_point now, const observations& seen) const {
  const told_wait& told = LastTold(now, seen);
  return IsRecent(now, told.at) && told.service > duration::zero();
}

double upstream_chooser::FailureShare(time_point now,
                                      const observations& seen) const {
  return IsRecent(now, seen.ended_at) ? seen.failure_share
                                      : domains_[seen.domain].failure_share;
}

double upstream_chooser::ToldService(time_point now,
                                     const observations& seen) const {
  return SecondsOf(LastTold(now, seen).service);
}

// Returns the expected queue wait in seconds: the owner's report and the
// average of its failure domain, weighted by the report's age, and the service
// time of the attempts begun since the report.
double upstream_chooser::ToldWait(time_point now,
                                  const observations& seen) const {
  const std::size_t rank = IndexOf(wish_.rank);
  const told_wait& of_domain = domains_[seen.domain].told[rank];
  const double domain_wait =
      IsRecent(now, of_domain.at)
          ? SecondsOf(of_domain.wait) * KeptShare(now, of_domain.at)
          : 0.0;
  if (!HasToldOfLate(now, seen)) {
    return domain_wait;
  }
  const told_wait& told = seen.told[rank];
  const double kept = KeptShare(now, told.at);
  return SecondsOf(told.wait) * kept + domain_wait * (1.0 - kept) +
         SecondsOf(told.service) * told.begun_since / seen.told_slots;
}

std::optional<upstream_chooser::least_wait> upstream_chooser::LeastToldWait(
    time_point now) const {
  std::optional<least_wait> least;
  for (const observations& seen : seen_) {
    if (!IsTold(now, seen)) {
      continue;
    }
    const auto wait = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(ToldWait(now, seen)));
    if (!least || wait < least->wait) {
      const told_wait& told = LastTold(now, seen);
      least = least_wait{wait, told.service, now - told.at};
    }
  }
  return least;
}

// Returns whether the owner is expected to refuse the request, because it would
// wait there for too long.
bool upstream_chooser::IsFull(time_point now, const observations& seen) const {
  if (wish_.longest_wait == duration::max() || !IsTold(now, seen)) {
    return false;
  }
  // The same limit as the owner's admission applies.
  const duration longest =
      wish_.objective_left > duration::zero()
          ? TimelyWait(wish_.longest_wait, LastTold(now, seen).service)
          : wish_.longest_wait;
  return ToldWait(now, seen) >=
         SecondsOf(std::max<duration>(longest, kLeastWait));
}

// Returns whether the upstream `far` is expected to answer enough sooner than
// `near` to be chosen at `distance`.
bool upstream_chooser::IsTimelyEnough(time_point now, std::size_t near,
                                      std::size_t far,
                                      std::size_t distance) const {
  if (wish_.objective_left <= duration::zero()) {
    return CostOf(now, far) + SecondsOf(kDistanceCost[distance]) <
           CostOf(now, near);
  }
  const auto time_of = [&](std::size_t index) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(TimeOf(now, seen_[index])));
  };
  return IsWorthItsBytes({.near_time = time_of(near),
                          .far_time = time_of(far),
                          .objective_left = wish_.objective_left,
                          .near_failing = FailureShare(now, seen_[near]),
                          .far_failing = FailureShare(now, seen_[far]),
                          .bytes = wish_.bytes,
                          .leaves_region = distance == kElsewhere});
}

}  // namespace wagtailmount
