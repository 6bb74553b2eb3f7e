// The part of upstream_chooser that uses the load reported by owners.
#include <algorithm>
#include <array>
#include <cmath>

#include "LibRouting/spill_over_comparison.h"
#include "LibRouting/timely_wait.h"
#include "LibRouting/upstream_choice.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Reported load takes precedence over this thread's observations for this long.
constexpr seconds kReportLifetime{3};
// The weight of reported load halves in this time: an owner's own report gives
// way to the average of its failure domain, and that average decays to no wait.
// Bursts last about as long; a full owner that is asked again sooner mostly
// refuses again.
constexpr milliseconds kReportHalfLife{1'000};
// Weight of the newest sample in the smoothed overhead, as a divisor.
constexpr int kOverheadWeight = 4;
// Owners that have a free slot, or soon will, report a wait below this.
constexpr milliseconds kNegligibleWait{10};
// By distance: how much sooner a farther upstream must be expected to answer to
// get a request that has already missed its objective. Callers notice such a
// difference: it is a good part of the usual objective of half a second.
constexpr std::array<milliseconds, 3> kDistanceCost{
    milliseconds{0}, milliseconds{150}, milliseconds{400}};
// The distance of an upstream in another region.
constexpr std::size_t kOtherRegion = 2;

// Weight of the newest report in the average of a failure domain, as a divisor.
// The same as for the latency of a single upstream.
constexpr int kDomainWeight = 4;

bool IsRecent(time_point now, time_point at) {
  return at != time_point{} && now - at < kReportLifetime;
}

// Returns the weight, 0 to 1, that a report of time `at` still has.
double RemainingWeight(time_point now, time_point at) {
  return std::exp2(-SecondsOf(now - at) / SecondsOf(kReportHalfLife));
}

}  // namespace

void upstream_chooser::RecordReportedLoad(time_point now, std::string_view vm,
                                          const reported_load& load) {
  if (observations* const seen = Find(vm)) {
    const std::size_t place = places_.Take(now, load.rank, load.kind);
    seen->reports[place] = {load.wait, load.service, now, 0};
    seen->reported_slots = std::max(1U, load.slots);
    seen->overhead += (load.overhead - seen->overhead) / kOverheadWeight;
    UpdateDomainReport(now, *seen, place, load);
  }
}

std::size_t upstream_chooser::FindOrAddDomain(const std::string& name) {
  const auto found = std::find_if(
      domains_.begin(), domains_.end(),
      [&name](const domain_observations& each) { return each.name == name; });
  const auto index = static_cast<std::size_t>(found - domains_.begin());
  if (found == domains_.end()) {
    domains_.push_back({.name = name, .reports = {}, .failure_share = 0.0});
  }
  return index;
}

// Averages the reports, since the owners of one failure domain differ.
void upstream_chooser::UpdateDomainReport(time_point now,
                                          const observations& seen,
                                          std::size_t place,
                                          const reported_load& load) {
  load_report& report = domains_[seen.domain_index].reports[place];
  if (!IsRecent(now, report.at)) {
    report = {load.wait, load.service, now, 0};
    return;
  }
  const duration before = std::chrono::duration_cast<duration>(
      report.wait * RemainingWeight(now, report.at));
  report.wait = before + (load.wait - before) / kDomainWeight;
  report.service += (load.service - report.service) / kDomainWeight;
  report.at = now;
}

// Returns whether the owner itself reported its load recently.
bool upstream_chooser::HasRecentReport(time_point now,
                                       const observations& seen) const {
  return IsRecent(now, seen.reports[place_].at);
}

// Returns the owner's own report if it is recent, else the average of its
// failure domain, which may be old as well.
const upstream_chooser::load_report& upstream_chooser::LatestReport(
    time_point now, const observations& seen) const {
  return HasRecentReport(now, seen)
             ? seen.reports[place_]
             : domains_[seen.domain_index].reports[place_];
}

bool upstream_chooser::IsLoadKnown(time_point now,
                                   const observations& seen) const {
  const load_report& report = LatestReport(now, seen);
  return IsRecent(now, report.at) && report.service > duration::zero();
}

double upstream_chooser::FailureShare(time_point now,
                                      const observations& seen) const {
  return IsRecent(now, seen.failure_share_updated_at)
             ? seen.failure_share
             : domains_[seen.domain_index].failure_share;
}

double upstream_chooser::ReportedServiceTime(time_point now,
                                             const observations& seen) const {
  return SecondsOf(LatestReport(now, seen).service);
}

// Returns the expected queue wait in seconds: the owner's report and the
// average of its failure domain, weighted by the report's age, and the service
// time of the attempts begun since the report.
double upstream_chooser::EstimatedWait(time_point now,
                                       const observations& seen) const {
  const load_report& domain_average =
      domains_[seen.domain_index].reports[place_];
  const double domain_wait = IsRecent(now, domain_average.at)
                                 ? SecondsOf(domain_average.wait) *
                                       RemainingWeight(now, domain_average.at)
                                 : 0.0;
  if (!HasRecentReport(now, seen)) {
    return domain_wait;
  }
  const load_report& report = seen.reports[place_];
  const double weight = RemainingWeight(now, report.at);
  return SecondsOf(report.wait) * weight + domain_wait * (1.0 - weight) +
         SecondsOf(report.service) * report.attempts_since_report /
             seen.reported_slots;
}

std::optional<upstream_chooser::least_reported_wait>
upstream_chooser::LeastReportedWait(time_point now) const {
  std::optional<least_reported_wait> least;
  for (const observations& seen : seen_) {
    if (!IsLoadKnown(now, seen)) {
      continue;
    }
    const auto wait = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(EstimatedWait(now, seen)));
    if (!least || wait < least->wait) {
      const load_report& report = LatestReport(now, seen);
      least = least_reported_wait{wait, report.service, now - report.at};
    }
  }
  return least;
}

// Returns whether the owner is expected to refuse the request, because it would
// wait there for too long.
bool upstream_chooser::IsFull(time_point now, const observations& seen) const {
  if (criteria_.longest_wait == duration::max() || !IsLoadKnown(now, seen)) {
    return false;
  }
  // The same limit as the owner's admission applies.
  const duration longest =
      criteria_.objective_left > duration::zero()
          ? TimelyWait(criteria_.longest_wait, LatestReport(now, seen).service)
          : criteria_.longest_wait;
  return EstimatedWait(now, seen) >=
         SecondsOf(std::max<duration>(longest, kNegligibleWait));
}

// Returns whether the upstream `far` is expected to answer enough sooner than
// `near` to be chosen at `distance`.
bool upstream_chooser::IsTimelinessGainEnough(time_point now, std::size_t near,
                                              std::size_t far,
                                              std::size_t distance) const {
  if (criteria_.objective_left <= duration::zero()) {
    return CostOf(now, far) + SecondsOf(kDistanceCost[distance]) <
           CostOf(now, near);
  }
  const auto expected_time = [&](std::size_t index) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(ExpectedTime(now, seen_[index])));
  };
  return IsSpillOverWorthwhile(
      {.near_time = expected_time(near),
       .far_time = expected_time(far),
       .objective_left = criteria_.objective_left,
       .near_failure_share = FailureShare(now, seen_[near]),
       .far_failure_share = FailureShare(now, seen_[far]),
       .bytes = criteria_.bytes,
       .crosses_region = distance == kOtherRegion});
}

}  // namespace wagtailmount
