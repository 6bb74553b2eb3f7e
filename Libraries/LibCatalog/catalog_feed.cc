#include "LibCatalog/catalog_feed.h"

#include <algorithm>
#include <utility>

namespace wagtailmount {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// For a watch whose answer is overdue, so that one call tells of changes that
/// come in quick succession.
constexpr milliseconds kShortestWatch{100};

}  // namespace

feed_call catalog_feed::NextCall(time_point now, std::uint64_t complete_to) {
  if (IsInFlight() || now < next_call_) {
    return feed_call::kNone;
  }
  if (needs_listing_ || complete_to == 0) {
    if (complete_to > 0 && HasRecentPeerState(now) && !is_reader_) {
      needs_listing_ = false;
      return feed_call::kNone;
    }
    if (settings_.lists_upstreams_first && !has_listed_upstreams_) {
      return feed_call::kListUpstreams;
    }
    return may_list_stale_ ? feed_call::kListStale : feed_call::kList;
  }
  const bool has_just_listed = now < listed_at_ + settings_.peer_grace;
  const bool may_rely_on_peers =
      !needs_own_read_ && (HasRecentPeerState(now) || has_just_listed);
  return !is_reader_ && may_rely_on_peers ? feed_call::kNone
                                          : feed_call::kWatch;
}

bool catalog_feed::HasRecentPeerState(time_point now) const {
  return peer_fresh_at_ && now - *peer_fresh_at_ <= settings_.stale_after;
}

milliseconds catalog_feed::WatchWait(time_point now) const {
  const auto age = Age(now);
  const milliseconds left =
      age ? settings_.longest_watch - *age : kShortestWatch;
  return std::clamp(left, kShortestWatch, settings_.longest_watch);
}

void catalog_feed::Begin(time_point now, feed_call call) {
  in_flight_ = call;
  in_flight_since_ = now;
}

void catalog_feed::End(time_point now, const std::optional<error_kind>& failure,
                       bool has_changes, milliseconds transfer) {
  const feed_call ended = in_flight_;
  in_flight_ = feed_call::kNone;
  if (failure == error_kind::kConflict) {
    // The platform has discarded the changes after the held revision, but it
    // does answer: this does not count as a failure.
    needs_listing_ = true;
    may_list_stale_ = false;
    // A listing that didn't help is not made again at once.
    const bool is_first = !std::exchange(has_conflicted_, true);
    const milliseconds pause =
        is_first ? milliseconds::zero() : settings_.first_backoff;
    next_call_ = is_reader_ ? now + pause
                            : now + settings_.listing_grace +
                                  RandomUpTo(settings_.listing_grace / 2);
    return;
  }
  if (failure) {
    ScheduleRetry(now);
    return;
  }
  consecutive_failures_ = 0;
  needs_own_read_ = false;
  next_call_ = now;
  if (ended == feed_call::kWatch) {
    fresh_at_ = std::max(fresh_at_, std::optional{now - transfer});
    has_conflicted_ = false;
    next_call_ = has_changes ? now + settings_.watch_pause : now;
  } else if (ended == feed_call::kList) {
    // A listing comes in pages and is as new as its first one.
    fresh_at_ = std::max(fresh_at_, std::optional{in_flight_since_});
    needs_listing_ = false;
  } else if (ended == feed_call::kListUpstreams) {
    has_listed_upstreams_ = true;
    next_call_ = now + settings_.start_grace;
  } else if (ended == feed_call::kListStale) {
    needs_listing_ = false;
    listed_at_ = now;
  }
}

void catalog_feed::ScheduleRetry(time_point now) {
  ++consecutive_failures_;
  const milliseconds longest = is_reader_ ? settings_.longest_backoff
                                          : settings_.longest_follower_backoff;
  const std::uint32_t doublings = std::min(consecutive_failures_ - 1, 5U);
  const milliseconds pause =
      std::min(settings_.first_backoff * (1 << doublings), longest);
  next_call_ = now + pause / 2 + RandomUpTo(pause / 2);
}

milliseconds catalog_feed::RandomUpTo(milliseconds limit) {
  return milliseconds{
      random_.Below(static_cast<std::uint64_t>(limit.count()) + 1)};
}

void catalog_feed::UpdateOutage(time_point now) {
  const auto age = Age(now);
  if (IsFailing() && (!age || *age > settings_.outage_after)) {
    last_outage_at_ = now;
  }
}

void catalog_feed::RecordPeerState(time_point now, milliseconds age) {
  const time_point then = now - age;
  peer_fresh_at_ = peer_fresh_at_ ? std::max(*peer_fresh_at_, then) : then;
}

std::optional<milliseconds> catalog_feed::Age(time_point now) const {
  const std::optional<time_point> fresh = std::max(fresh_at_, peer_fresh_at_);
  if (!fresh) {
    return std::nullopt;
  }
  return duration_cast<milliseconds>(now - *fresh);
}

}  // namespace wagtailmount
