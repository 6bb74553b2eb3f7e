#include "LibLoad/service_times.h"

#include <algorithm>

namespace wagtailmount {

namespace {

/// The newest request weighs 1/16 in a mean duration.
constexpr int kMeanDurationDivisor = 16;
/// A kind that has not run for longer is taken to be new: its work or its
/// backend server may have changed.
constexpr std::chrono::seconds kLifetime{60};

void UpdateMean(duration& mean, duration taken) {
  mean = mean == duration::zero()
             ? taken
             : mean + (taken - mean) / kMeanDurationDivisor;
}

}  // namespace

duration service_times::Of(time_point now, request_priority rank,
                           request_kind kind) const {
  if (kind != kUnknownKind) {
    const auto found = of_kind_.find(kind);
    if (found != of_kind_.end() && now - found->second.learned_at < kLifetime) {
      return found->second.mean;
    }
    if (of_kind_.size() < kMaxKinds || found != of_kind_.end()) {
      return duration::zero();
    }
  }
  const auto found = of_rank_.find(rank);
  return found == of_rank_.end() ? of_all_ : found->second;
}

void service_times::Record(time_point now, request_priority rank,
                           request_kind kind, duration taken) {
  UpdateMean(of_all_, taken);
  UpdateMean(of_rank_[rank], taken);
  if (kind == kUnknownKind) {
    return;
  }
  if (!of_kind_.contains(kind)) {
    ForgetForOneMore(now);
    if (of_kind_.size() >= kMaxKinds) {
      return;
    }
  }
  mean_duration& learned = of_kind_[kind];
  if (now - learned.learned_at >= kLifetime) {
    learned.mean = duration::zero();
  }
  UpdateMean(learned.mean, taken);
  learned.learned_at = now;
}

// A kind that still runs keeps its place, so that the places don't change hands
// all the time.
void service_times::ForgetForOneMore(time_point now) {
  if (of_kind_.size() >= kMaxKinds) {
    std::erase_if(of_kind_, [now](const auto& each) {
      return now - each.second.learned_at >= kLifetime;
    });
  }
}

}  // namespace wagtailmount
