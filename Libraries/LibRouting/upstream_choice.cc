#include "LibRouting/upstream_choice.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace wagtailmount {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Weight of the newest sample in the smoothed latency, as a divisor.
constexpr int kLatencyWeight = 4;
// An old latency decays to the median, so that a slow upstream is tried again.
constexpr seconds kLatencyHalfLife{5};
// An upstream that refused a request costs more by this factor, for this long.
constexpr milliseconds kPenaltyTime{500};
constexpr double kPenaltyFactor = 8.0;
// By distance: the factor by which the nearest upstreams must cost more before
// a request leaves the failure domain, or the region.
constexpr std::array<double, 3> kDistanceFactor{1.0, 2.0, 4.0};
// The cost of an upstream grows by this multiple of its share of failures.
constexpr double kFailureFactor = 8.0;
// Weight of the newest outcome in the smoothed failure share, as a divisor.
constexpr double kFailureWeight = 12.0;
constexpr int kOwnDomain = 0;
constexpr int kOwnRegion = 1;
constexpr int kOtherRegion = 2;
constexpr int kMinDraws = 2;
constexpr int kMaxDraws = 5;
// A cost above this multiple of the median latency causes another draw.
constexpr double kExpensiveFactor = 3.0;
constexpr double kMinSlowStartWeight = 0.05;
// Differences between latencies below this are noise.
constexpr microseconds kLatencyFloor{200};

// Returns the share of full traffic, up to 1, that slow start grants an
// upstream which is new since `since`.
double SlowStartWeight(time_point now, time_point since, duration slow_start) {
  if (slow_start <= duration::zero() || now >= since + slow_start) {
    return 1.0;
  }
  return std::max(kMinSlowStartWeight,
                  SecondsOf(now - since) / SecondsOf(slow_start));
}

}  // namespace

std::string_view NameOf(choice_reason reason) {
  switch (reason) {
    case choice_reason::kNear:
      return "near";
    case choice_reason::kSpillOver:
      return "spill-over";
    case choice_reason::kEjected:
      return "only-ejected-left";
    case choice_reason::kSuspect:
      return "only-suspect-left";
  }
  return "unknown";
}

std::optional<upstream_choice> upstream_chooser::Choose(
    time_point now, std::span<const upstream> upstreams,
    std::span<const upstream* const> tried, duration slow_start,
    random_source& random, const placement_criteria& criteria) {
  AlignObservations(now, upstreams);
  criteria_ = criteria;
  place_ = places_.Take(now, criteria.rank, criteria.kind);
  are_all_full_ = false;
  median_latency_ = MedianLatency();
  for (const availability wanted :
       {availability::kGood, availability::kEjected, availability::kSuspect}) {
    CollectCandidates(now, wanted, upstreams, tried);
    if (candidates_.empty()) {
      continue;
    }
    auto choice = ChooseAmongCandidates(now, upstreams, slow_start, random);
    // Ejected upstreams are no place for what full ones can't take.
    if (!choice) {
      are_all_full_ = true;
      return std::nullopt;
    }
    if (wanted == availability::kEjected) {
      choice->why = choice_reason::kEjected;
    } else if (wanted == availability::kSuspect) {
      choice->why = choice_reason::kSuspect;
    }
    return choice;
  }
  return std::nullopt;
}

void upstream_chooser::Begin(std::string_view vm) {
  if (observations* const seen = Find(vm)) {
    ++seen->outstanding;
    ++seen->reports[place_].attempts_since_report;
  }
}

void upstream_chooser::End(time_point now, std::string_view vm,
                           attempt_signal signal, duration taken) {
  observations* const seen = Find(vm);
  if (seen == nullptr) {
    return;
  }
  seen->outstanding -= std::min(seen->outstanding, 1U);
  const bool has_answered = signal == attempt_signal::kGood ||
                            signal == attempt_signal::kOwnerRefused ||
                            signal == attempt_signal::kShed;
  if (has_answered && seen->is_unreachable) {
    seen->is_unreachable = false;
    seen->ejections_in_row = 0;
    seen->ejected_until = now;
  }
  if (signal != attempt_signal::kOwnerRefused &&
      signal != attempt_signal::kOwnerDrains &&
      signal != attempt_signal::kInconclusive) {
    const double failed = signal == attempt_signal::kGood ? 0.0 : 1.0;
    seen->failure_share += (failed - seen->failure_share) / kFailureWeight;
    double& domain_average = domains_[seen->domain_index].failure_share;
    domain_average += (failed - domain_average) / kFailureWeight;
    seen->failure_share_updated_at = now;
  }
  if (signal == attempt_signal::kOwnerRefused ||
      signal == attempt_signal::kShed) {
    seen->penalized_until = now + kPenaltyTime;
    return;
  }
  if (signal == attempt_signal::kInconclusive) {
    return;
  }
  // How long it took to find no connection says nothing about the latency.
  if (signal == attempt_signal::kUnreachable ||
      signal == attempt_signal::kOwnerDrains) {
    RecordFailure(now, *seen, signal);
    return;
  }
  const bool is_first = seen->latency == duration::zero();
  const duration before = DecayedLatency(now, *seen);
  seen->latency = is_first ? taken : before + (taken - before) / kLatencyWeight;
  seen->latency_updated_at = now;
  if (signal == attempt_signal::kGood) {
    seen->failures_in_row = 0;
    seen->ejections_in_row = 0;
    return;
  }
  RecordFailure(now, *seen, signal);
}

std::uint32_t upstream_chooser::OutstandingOf(std::string_view vm) const {
  const observations* const seen = Find(vm);
  return seen == nullptr ? 0 : seen->outstanding;
}

void upstream_chooser::AlignObservations(time_point now,
                                         std::span<const upstream> upstreams) {
  const auto is_same = [](const observations& seen, const upstream& known) {
    return seen.incarnation == known.incarnation && seen.vm == known.vm;
  };
  const auto is_current = [&](const observations& seen, const upstream& known) {
    return is_same(seen, known) && seen.is_evacuated == known.is_evacuated;
  };
  if (std::equal(seen_.begin(), seen_.end(), upstreams.begin(), upstreams.end(),
                 is_current)) {
    return;
  }
  std::vector<observations> aligned;
  aligned.reserve(upstreams.size());
  for (const upstream& known : upstreams) {
    observations* const before = Find(known.vm);
    if (before != nullptr && is_same(*before, known)) {
      aligned.push_back(std::move(*before));
      observations& kept = aligned.back();
      if (kept.is_evacuated && !known.is_evacuated) {
        // It may have lost what it had cached, and all of its failure domain
        // come back at once.
        kept.warming_since = now;
      }
      kept.is_evacuated = known.is_evacuated;
      continue;
    }
    observations fresh;
    fresh.vm = known.vm;
    fresh.incarnation = known.incarnation;
    fresh.is_evacuated = known.is_evacuated;
    fresh.warming_since = now;
    fresh.domain_index = FindOrAddDomain(known.failure_domain);
    aligned.push_back(std::move(fresh));
  }
  // The first upstreams may have run for long: they skip the slow start.
  if (seen_.empty()) {
    for (observations& seen : aligned) {
      seen.warming_since = time_point{};
    }
  }
  seen_ = std::move(aligned);
}

const upstream_chooser::observations* upstream_chooser::Find(
    std::string_view vm) const {
  const auto found =
      std::find_if(seen_.begin(), seen_.end(),
                   [vm](const observations& seen) { return seen.vm == vm; });
  return found == seen_.end() ? nullptr : &*found;
}

upstream_chooser::observations* upstream_chooser::Find(std::string_view vm) {
  return const_cast<observations*>(std::as_const(*this).Find(vm));
}

upstream_chooser::availability upstream_chooser::AvailabilityOf(
    time_point now, const upstream& candidate, const observations& seen) {
  const bool is_ejected = seen.ejected_until > now;
  if (candidate.is_evacuated) {
    return availability::kUnusable;
  }
  if (seen.is_unreachable && (is_ejected || seen.outstanding > 0)) {
    return availability::kUnusable;
  }
  if (candidate.is_suspect) {
    return availability::kSuspect;
  }
  return is_ejected ? availability::kEjected : availability::kGood;
}

void upstream_chooser::CollectCandidates(
    time_point now, availability wanted, std::span<const upstream> upstreams,
    std::span<const upstream* const> tried) {
  candidates_.clear();
  for (std::size_t index = 0; index < upstreams.size(); ++index) {
    const upstream& candidate = upstreams[index];
    const bool is_tried =
        std::find(tried.begin(), tried.end(), &candidate) != tried.end();
    const availability current = AvailabilityOf(now, candidate, seen_[index]);
    if (!candidate.is_leaving && !is_tried && current == wanted) {
      candidates_.push_back(index);
    }
  }
}

int upstream_chooser::DistanceOf(const upstream& candidate) const {
  if (candidate.region != own_locality_.region) {
    return kOtherRegion;
  }
  return candidate.failure_domain == own_locality_.failure_domain ? kOwnDomain
                                                                  : kOwnRegion;
}

// Keeps the nearest upstreams in `candidates_` and moves the others to
// `farther_`. Drops those expected to refuse. One in this node's own failure
// domain is dropped only on a recent report of its own, and never for a request
// that is already late: it may fill a free slot that no report shows.
void upstream_chooser::SplitByDistance(time_point now,
                                       std::span<const upstream> upstreams) {
  std::erase_if(candidates_, [&](std::size_t index) {
    const bool is_certain = criteria_.objective_left > duration::zero() &&
                            HasRecentReport(now, seen_[index]);
    return (is_certain || DistanceOf(upstreams[index]) != kOwnDomain) &&
           IsFull(now, seen_[index]);
  });
  int nearest = kOtherRegion;
  for (const std::size_t index : candidates_) {
    nearest = std::min(nearest, DistanceOf(upstreams[index]));
  }
  farther_.clear();
  std::erase_if(candidates_, [&](std::size_t index) {
    const bool is_farther = DistanceOf(upstreams[index]) > nearest;
    if (is_farther) {
      farther_.push_back(index);
    }
    return is_farther;
  });
}

std::optional<upstream_choice> upstream_chooser::ChooseAmongCandidates(
    time_point now, std::span<const upstream> upstreams, duration slow_start,
    random_source& random) {
  SplitByDistance(now, upstreams);
  if (candidates_.empty()) {
    return std::nullopt;
  }
  const std::size_t near = BestOfDrawn(now, candidates_, slow_start, random);
  if (farther_.empty()) {
    return upstream_choice{&upstreams[near], choice_reason::kNear};
  }
  const std::size_t far = BestOfDrawn(now, farther_, slow_start, random);
  // Counts only a report of the near upstream itself: an estimate from its
  // failure domain must not move requests away.
  const bool is_near_full =
      IsFull(now, seen_[near]) && HasRecentReport(now, seen_[near]);
  if (is_near_full || IsWorthTheDistance(now, near, far, upstreams[far])) {
    return upstream_choice{&upstreams[far], choice_reason::kSpillOver};
  }
  return upstream_choice{&upstreams[near], choice_reason::kNear};
}

bool upstream_chooser::IsWorthTheDistance(time_point now, std::size_t near,
                                          std::size_t far,
                                          const upstream& far_upstream) const {
  const auto distance = static_cast<std::size_t>(DistanceOf(far_upstream));
  if (criteria_.objective_left > duration::zero() ||
      IsLoadKnown(now, seen_[near])) {
    return IsTimelinessGainEnough(now, near, far, distance);
  }
  return CostOf(now, far) * kDistanceFactor[distance] < CostOf(now, near);
}

std::size_t upstream_chooser::BestOfDrawn(
    time_point now, std::span<const std::size_t> candidates,
    duration slow_start, random_source& random) const {
  std::size_t best = Draw(now, candidates, slow_start, random);
  const double expensive = kExpensiveFactor * SecondsOf(median_latency_);
  for (int drawn = 1; drawn < kMaxDraws; ++drawn) {
    // Both draws may hit slow upstreams, or the same one twice: draw again.
    if (drawn >= kMinDraws && CostOf(now, best) <= expensive) {
      break;
    }
    const std::size_t other = Draw(now, candidates, slow_start, random);
    best = CostOf(now, other) < CostOf(now, best) ? other : best;
  }
  return best;
}

std::size_t upstream_chooser::Draw(time_point now,
                                   std::span<const std::size_t> candidates,
                                   duration slow_start,
                                   random_source& random) const {
  double total = 0.0;
  for (const std::size_t index : candidates) {
    total += SlowStartWeight(now, seen_[index].warming_since, slow_start);
  }
  double remaining = random.Fraction() * total;
  for (const std::size_t index : candidates) {
    remaining -= SlowStartWeight(now, seen_[index].warming_since, slow_start);
    if (remaining < 0.0) {
      return index;
    }
  }
  return candidates.back();
}

// Returns the expected time until the answer, in seconds.
double upstream_chooser::ExpectedTime(time_point now,
                                      const observations& seen) const {
  if (IsLoadKnown(now, seen)) {
    return EstimatedWait(now, seen) + ReportedServiceTime(now, seen) +
           SecondsOf(seen.overhead);
  }
  const double latency =
      std::max(SecondsOf(DecayedLatency(now, seen)), SecondsOf(kLatencyFloor));
  const double penalty = seen.penalized_until > now ? kPenaltyFactor : 1.0;
  return latency * (1.0 + 1.0 * seen.outstanding / seen.reported_slots) *
         penalty;
}

// Returns the expected time in seconds, increased by the share of failures.
double upstream_chooser::CostOf(time_point now, std::size_t index) const {
  const observations& seen = seen_[index];
  const double failure_cost =
      IsLoadKnown(now, seen) ? kFailureFactor * FailureShare(now, seen) : 0.0;
  return ExpectedTime(now, seen) * (1.0 + failure_cost);
}

// Returns the smoothed latency, decayed towards the median with its age.
duration upstream_chooser::DecayedLatency(time_point now,
                                          const observations& seen) const {
  if (seen.latency == duration::zero()) {
    return median_latency_;
  }
  const double age = SecondsOf(now - seen.latency_updated_at);
  const double kept = std::exp2(-age / SecondsOf(kLatencyHalfLife));
  return median_latency_ + std::chrono::duration_cast<duration>(
                               (seen.latency - median_latency_) * kept);
}

duration upstream_chooser::MedianLatency() {
  latencies_.clear();
  for (const observations& seen : seen_) {
    if (seen.latency != duration::zero()) {
      latencies_.push_back(seen.latency);
    }
  }
  if (latencies_.empty()) {
    return duration::zero();
  }
  const auto middle =
      latencies_.begin() + static_cast<std::ptrdiff_t>(latencies_.size() / 2);
  std::nth_element(latencies_.begin(), middle, latencies_.end());
  return *middle;
}

}  // namespace wagtailmount
