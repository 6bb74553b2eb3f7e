// Failure detection over this node's own links: unreachable peers, failed VMs
// and network partitions.
#include <algorithm>

#include "LibMembership/membership.h"

namespace wagtailmount {

using detail::contact;
using detail::domain_facts;

namespace {

/// Fewer lost peers than this are not taken for a network partition.
constexpr std::size_t kFewestLostOfCut = 2;

/// Fewer simultaneous failures than this are not taken for a partition.
constexpr std::size_t kFewestMassDeaths = 3;

}  // namespace

membership_effects membership::PeerHeard(time_point now, std::string_view vm) {
  entry* held = FindEntry(vm);
  if (held == nullptr || held == self_) {
    return TakeEffects();
  }
  if (held->record.state == vm_state::kGone) {
    // The peer may not know that it was declared gone; tell it, so that it can
    // refute.
    effects_.correction = held->record;
    return TakeEffects();
  }
  SetContact(now, *held, contact::kHeard);
  return TakeEffects();
}

membership_effects membership::PeerLost(time_point now, std::string_view vm) {
  entry* held = FindEntry(vm);
  if (held == nullptr || held == self_ ||
      held->record.state == vm_state::kGone) {
    return TakeEffects();
  }
  if (held->record.state == vm_state::kLeaving) {
    Declare(now, *held, vm_state::kGone);
    return TakeEffects();
  }
  SetContact(now, *held, contact::kLost);
  return TakeEffects();
}

membership_effects membership::StopWatching(time_point now,
                                            std::string_view vm) {
  if (entry* held = FindEntry(vm); held != nullptr) {
    SetContact(now, *held, contact::kNotWatched);
  }
  return TakeEffects();
}

void membership::SetContact(time_point now, entry& held, contact reached) {
  if (held.reached == reached) {
    return;
  }
  if (held.reached == contact::kNotWatched) {
    watched_.push_back(&held);
  }
  if (reached == contact::kNotWatched) {
    std::erase(watched_, &held);
  }
  held.reached = reached;
  held.contact_since = now;
  Invalidate(held);
  JudgeCut(*held.domain);
}

/// Takes it for a network partition, not for many failures, when most of the
/// watched peers in a failure domain are lost together. Peers that fail one by
/// one don't add up to that: each is declared gone, and is no longer watched,
/// before enough others fail.
void membership::JudgeCut(domain_facts& domain) {
  const auto count = [&](contact reached) {
    return static_cast<std::size_t>(
        std::count_if(watched_.begin(), watched_.end(), [&](const entry* held) {
          return held->domain == &domain && held->reached == reached;
        }));
  };
  domain.lost = count(contact::kLost);
  domain.watched = domain.lost + count(contact::kHeard);
  const bool is_cut =
      domain.lost >= kFewestLostOfCut && 2 * domain.lost > domain.watched;
  if (is_cut != domain.is_cut) {
    domain.is_cut = is_cut;
    InvalidateDomain(domain);
  }
}

bool membership::IsCut(std::string_view failure_domain) const {
  const auto found = domains_.find(failure_domain);
  return found != domains_.end() && found->second->is_cut;
}

membership_effects membership::Tick(time_point now) {
  // JudgeLost() may remove the peer from `watched_`, so iterate over a copy.
  const auto watched = watched_;
  for (entry* held : watched) {
    if (held->reached == contact::kLost) {
      JudgeLost(now, *held);
    }
  }
  ForgetGone(now);
  return TakeEffects();
}

/// Declares a peer gone once it was lost for long enough. Only VMs of the same
/// failure domain declare each other gone: between domains a network partition
/// is likelier than a failed VM.
void membership::JudgeLost(time_point now, entry& held) {
  const domain_facts& domain = *held.domain;
  if (&domain != self_->domain || domain.is_cut) {
    return;
  }
  const duration patience = domain.watched > 1
                                ? settings_.gone_after
                                : settings_.gone_after_as_only_witness;
  const auto doublings = std::int64_t{1} << held.refutations;
  if (now - held.contact_since >= patience * doublings) {
    Declare(now, held, vm_state::kGone);
  }
}

void membership::Declare(time_point now, entry& held, vm_state state) {
  if (held.record.state >= state || &held == self_) {
    return;
  }
  ++(state == vm_state::kGone ? counters_.declared_gone
                              : counters_.declared_leaving);
  vm_record record = held.record;
  record.state = state;
  Replace(now, held, record);
}

/// If most of a failure domain is declared gone within a short time, the node
/// that declared it was probably partitioned from it: the VMs declared gone
/// stay upstreams of last resort.
void membership::NoteSuddenDeath(time_point now, entry& held) {
  domain_facts& domain = *held.domain;
  std::erase_if(domain.sudden_deaths, [&](const entry* dead) {
    return now - dead->gone_since > settings_.at_once;
  });
  domain.sudden_deaths.push_back(&held);
  const std::size_t deaths = domain.sudden_deaths.size();
  if (deaths < kFewestMassDeaths || deaths <= domain.present) {
    return;
  }
  for (entry* dead : domain.sudden_deaths) {
    dead->is_kept = true;
    Invalidate(*dead);
  }
}

void membership::ForgetGone(time_point now) {
  while (!gone_.empty() &&
         now - gone_.front()->gone_since >= settings_.forget_gone_after) {
    entry& held = *gone_.front();
    const bool is_still_listed =
        list_merges_ > 0 && held.list_seen == list_merges_;
    if (is_still_listed) {
      // The platform's list lags by more than `forget_gone_after`. If the
      // record were erased, the list would bring the VM back.
      gone_.pop_front();
      held.gone_since = now;
      gone_.push_back(&held);
      continue;
    }
    Erase(held);
    ++counters_.forgotten;
  }
}

void membership::AfterPause(time_point now) {
  paused_at_ = now;
  for (entry* held : watched_) {
    held->contact_since = now;
  }
  for (auto& [vm, held] : entries_) {
    if (held.word == detail::list_word::kAbsent) {
      held.word_since = now;
    }
  }
}

}  // namespace wagtailmount
