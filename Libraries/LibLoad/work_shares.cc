#include "LibLoad/work_shares.h"

#include <algorithm>

namespace wagtailmount {

namespace {

/// The newest start of mean work weighs 1/32: some tenths of a second of starts
/// at a busy owner.
constexpr double kShareDivisor = 32.0;
/// A single start never weighs more than this.
constexpr double kMaximumWeight = 0.25;
/// A kind that takes less is forgotten.
constexpr double kForgottenShare = 0.001;
constexpr int kWaitDivisor = 16;
/// A kind of the same rank starts first for certain if it may wait for this
/// part of the time.
constexpr int kMuchLessDivisor = 2;

}  // namespace

void work_shares::CountStart(request_priority rank, request_kind kind,
                             duration work, duration mean_work,
                             std::optional<duration> longest_wait,
                             bool is_ordinary) {
  const double relative_work = mean_work > duration::zero()
                                   ? SecondsOf(work) / SecondsOf(mean_work)
                                   : 1.0;
  const double weight = std::min(kMaximumWeight, relative_work / kShareDivisor);
  const kind_key started{rank, kind};
  if (of_kind_.size() < kMaxKinds) {
    of_kind_.try_emplace(started, usage{});
  }
  for (auto& [key, each] : of_kind_) {
    const double part = key == started ? 1.0 : 0.0;
    each.share += ((is_ordinary ? part : 0.0) - each.share) * weight;
    each.floor_share +=
        ((is_ordinary ? 0.0 : part) - each.floor_share) * weight;
  }
  const auto found = of_kind_.find(started);
  if (found != of_kind_.end() && longest_wait) {
    duration& usual = found->second.longest_wait;
    usual = usual == duration::max()
                ? *longest_wait
                : usual + (*longest_wait - usual) / kWaitDivisor;
  }
  std::erase_if(of_kind_, [](const auto& each) {
    return each.second.share + each.second.floor_share < kForgottenShare;
  });
}

double work_shares::ShareAhead(request_priority rank, request_kind kind,
                               duration longest_wait) const {
  double share = 0.0;
  for (const auto& [key, each] : of_kind_) {
    const bool is_ahead =
        key.rank < rank ||
        (key.rank == rank && key.kind != kind &&
         each.longest_wait <= longest_wait / kMuchLessDivisor);
    share += is_ahead ? each.share : 0.0;
    share += is_ahead || key.kind != kind ? each.floor_share : 0.0;
  }
  return share;
}

duration work_shares::UsualWait(request_priority rank,
                                request_kind kind) const {
  const auto found = of_kind_.find({rank, kind});
  return found == of_kind_.end() ? duration::max() : found->second.longest_wait;
}

}  // namespace wagtailmount
