#include "LibLoad/served_shares.h"

#include <algorithm>
#include <cmath>

namespace wagtailmount {

namespace {

/// After this time, a request counts half.
constexpr std::chrono::seconds kHalfLife{2};
/// No kind is to be served less than a quarter as often as all requests; the
/// rest is for what is refused before it reaches an owner.
constexpr double kFloorShare = 0.3;
/// With fewer requests, a share says little.
constexpr double kMinimumAsked = 4.0;
/// A kind with fewer requests may give its place to another.
constexpr double kForgottenAsked = 0.1;

void Age(double& number, double kept) { number *= kept; }

}  // namespace

double served_shares::Kept(time_point now, const counts& seen) {
  return seen.counted_at == time_point{}
             ? 0.0
             : std::exp2(-SecondsOf(now - seen.counted_at) /
                         SecondsOf(kHalfLife));
}

double served_shares::ShareOf(const counts& seen) {
  return seen.asked > 0.0 ? seen.started / seen.asked : 1.0;
}

// Returns the counts of a kind, aged until `now`. Kinds beyond the bound are
// counted together, as the kind that isn't told of their rank.
served_shares::counts& served_shares::Find(time_point now, kind_key key) {
  if (!of_kind_.contains(key) && of_kind_.size() >= kMaxKinds) {
    std::erase_if(of_kind_, [now](const auto& each) {
      return each.second.asked * Kept(now, each.second) < kForgottenAsked;
    });
    if (of_kind_.size() >= kMaxKinds) {
      // Ranks are a byte, but few are in use; the last one stands for more.
      key = of_kind_.rbegin()->first;
    }
  }
  counts& seen = of_kind_[key];
  const double kept = Kept(now, seen);
  Age(seen.asked, kept);
  Age(seen.started, kept);
  seen.counted_at = now;
  return seen;
}

void served_shares::CountAsked(time_point now, request_priority rank,
                               request_kind kind) {
  Find(now, {rank, kind}).asked += 1.0;
  const double kept = Kept(now, of_all_);
  Age(of_all_.asked, kept);
  Age(of_all_.started, kept);
  of_all_.counted_at = now;
  of_all_.asked += 1.0;
}

void served_shares::CountStarted(time_point now, request_priority rank,
                                 request_kind kind) {
  Find(now, {rank, kind}).started += 1.0;
  const double kept = Kept(now, of_all_);
  Age(of_all_.asked, kept);
  Age(of_all_.started, kept);
  of_all_.counted_at = now;
  of_all_.started += 1.0;
}

bool served_shares::IsBelowFloor(time_point now, request_priority rank,
                                 request_kind kind) const {
  const auto found = of_kind_.find({rank, kind});
  if (found == of_kind_.end() ||
      found->second.asked * Kept(now, found->second) < kMinimumAsked) {
    return false;
  }
  double floor = kFloorShare * ShareOf(of_all_);
  for (const auto& [other, seen] : of_kind_) {
    if (other.rank < rank && seen.asked * Kept(now, seen) >= kMinimumAsked) {
      floor = std::min(floor, ShareOf(seen));
    }
  }
  return ShareOf(found->second) < floor;
}

}  // namespace wagtailmount
