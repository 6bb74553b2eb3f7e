// Failure detection over this node's own links: unreachable peers, failed VMs
// and network partitions.
#include <algorithm>

#include "LibMembership/membership.h"

namespace wagtailmount {

using detail::failure_domain_status;
using detail::peer_link_state;

namespace {

/// Fewer unreachable peers than this are not taken for a network partition.
constexpr std::size_t kMinUnreachableForPartition = 2;

/// Fewer simultaneous failures than this are not taken for a partition.
constexpr std::size_t kMinMassFailures = 3;

}  // namespace

membership_effects membership::PeerReachable(time_point now,
                                             std::string_view vm) {
  entry* member = FindEntry(vm);
  if (member == nullptr || member == self_) {
    return TakeEffects();
  }
  if (member->record.state == vm_state::kGone) {
    // The peer may not know that it was declared gone; tell it, so that it can
    // refute.
    effects_.correction = member->record;
    return TakeEffects();
  }
  SetLinkState(now, *member, peer_link_state::kReachable);
  return TakeEffects();
}

membership_effects membership::PeerUnreachable(time_point now,
                                               std::string_view vm) {
  entry* member = FindEntry(vm);
  if (member == nullptr || member == self_ ||
      member->record.state == vm_state::kGone) {
    return TakeEffects();
  }
  if (member->record.state == vm_state::kLeaving) {
    Declare(now, *member, vm_state::kGone);
    return TakeEffects();
  }
  SetLinkState(now, *member, peer_link_state::kUnreachable);
  return TakeEffects();
}

membership_effects membership::StopWatching(time_point now,
                                            std::string_view vm) {
  if (entry* member = FindEntry(vm); member != nullptr) {
    SetLinkState(now, *member, peer_link_state::kNotWatched);
  }
  return TakeEffects();
}

void membership::SetLinkState(time_point now, entry& member,
                              peer_link_state link) {
  if (member.link == link) {
    return;
  }
  if (member.link == peer_link_state::kNotWatched) {
    watched_.push_back(&member);
  }
  if (link == peer_link_state::kNotWatched) {
    std::erase(watched_, &member);
  }
  member.link = link;
  member.link_since = now;
  InvalidateUpstreams(member);
  UpdatePartitioned(*member.domain);
}

/// Takes it for a network partition, not for many failures, when most of the
/// watched peers in a failure domain are unreachable together. Peers that fail
/// one by one don't add up to that: each is declared gone, and is no longer
/// watched, before enough others fail.
void membership::UpdatePartitioned(failure_domain_status& domain) {
  const auto count = [&](peer_link_state link) {
    return static_cast<std::size_t>(std::count_if(
        watched_.begin(), watched_.end(), [&](const entry* member) {
          return member->domain == &domain && member->link == link;
        }));
  };
  domain.unreachable = count(peer_link_state::kUnreachable);
  domain.watched = domain.unreachable + count(peer_link_state::kReachable);
  const bool is_partitioned =
      domain.unreachable >= kMinUnreachableForPartition &&
      2 * domain.unreachable > domain.watched;
  if (is_partitioned != domain.is_partitioned) {
    domain.is_partitioned = is_partitioned;
    InvalidateDomainUpstreams(domain);
  }
}

bool membership::IsPartitioned(std::string_view failure_domain) const {
  const auto found = domains_.find(failure_domain);
  return found != domains_.end() && found->second->is_partitioned;
}

membership_effects membership::Tick(time_point now) {
  // CheckUnreachable() may remove the peer from `watched_`, so iterate over a
  // copy.
  const auto watched = watched_;
  for (entry* member : watched) {
    if (member->link == peer_link_state::kUnreachable) {
      CheckUnreachable(now, *member);
    }
  }
  ForgetGone(now);
  return TakeEffects();
}

/// Declares a peer gone once it was unreachable for long enough. Only VMs of
/// the same failure domain declare each other gone: between domains a network
/// partition is likelier than a failed VM.
void membership::CheckUnreachable(time_point now, entry& member) {
  const failure_domain_status& domain = *member.domain;
  if (&domain != self_->domain || domain.is_partitioned) {
    return;
  }
  const duration timeout = domain.watched > 1
                               ? settings_.gone_after
                               : settings_.gone_after_as_sole_observer;
  const auto multiplier = std::int64_t{1} << member.refutations;
  if (now - member.link_since >= timeout * multiplier) {
    Declare(now, member, vm_state::kGone);
  }
}

void membership::Declare(time_point now, entry& member, vm_state state) {
  if (member.record.state >= state || &member == self_) {
    return;
  }
  ++(state == vm_state::kGone ? counters_.declared_gone
                              : counters_.declared_leaving);
  vm_record record = member.record;
  record.state = state;
  Replace(now, member, record);
}

/// If most of a failure domain is declared gone within a short time, the node
/// that declared it was probably partitioned from it: the VMs declared gone
/// stay upstreams of last resort.
void membership::RecordAbruptFailure(time_point now, entry& member) {
  failure_domain_status& domain = *member.domain;
  std::erase_if(domain.abrupt_failures, [&](const entry* failed) {
    return now - failed->gone_since > settings_.mass_failure_window;
  });
  domain.abrupt_failures.push_back(&member);
  const std::size_t failures = domain.abrupt_failures.size();
  if (failures < kMinMassFailures || failures <= domain.present) {
    return;
  }
  for (entry* failed : domain.abrupt_failures) {
    failed->is_last_resort = true;
    InvalidateUpstreams(*failed);
  }
}

void membership::ForgetGone(time_point now) {
  while (!gone_.empty() &&
         now - gone_.front()->gone_since >= settings_.forget_gone_after) {
    entry& member = *gone_.front();
    const bool is_still_listed =
        list_merges_ > 0 && member.last_listed_merge == list_merges_;
    if (is_still_listed) {
      // The platform's list lags by more than `forget_gone_after`. If the
      // record were erased, the list would bring the VM back.
      gone_.pop_front();
      member.gone_since = now;
      gone_.push_back(&member);
      continue;
    }
    Erase(member);
    ++counters_.forgotten;
  }
}

void membership::AfterPause(time_point now) {
  paused_at_ = now;
  for (entry* member : watched_) {
    member->link_since = now;
  }
  for (auto& [vm, member] : entries_) {
    if (member.listed_as == detail::list_status::kAbsent) {
      member.listed_since = now;
    }
  }
}

}  // namespace wagtailmount
