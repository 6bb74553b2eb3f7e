// Merges the platform's list of VMs, which may lag behind their announcements.
#include "LibMembership/membership.h"

namespace wagtailmount {

using detail::contact;
using detail::list_word;

membership_effects membership::MergePlatformList(
    time_point now, std::span<const vm_record> listed, std::uint64_t revision) {
  if (revision < list_revision_) {
    ++counters_.outdated_lists;
    return TakeEffects();
  }
  list_revision_ = revision;
  ++list_merges_;
  for (const auto& record : listed) {
    MergeListed(now, record);
  }
  for (auto& [name, domain] : domains_) {
    domain->unlisted = 0;
  }
  std::vector<entry*> absent;
  for (auto& [vm, held] : entries_) {
    if (held.list_seen != list_merges_ && &held != self_ &&
        held.record.state != vm_state::kGone) {
      ++held.domain->unlisted;
      absent.push_back(&held);
    }
  }
  for (entry* held : absent) {
    MergeAbsent(now, *held);
  }
  return TakeEffects();
}

/// Returns how long this node must have known an incarnation before the list
/// counts against it: until then, the list may still describe the previous
/// incarnation of the VM.
duration membership::ListLagOf(const entry& held) const {
  return settings_.list_lag * (std::int64_t{1} << held.refutations);
}

void membership::MergeListed(time_point now, const vm_record& listed) {
  const list_word word = listed.state == vm_state::kLeaving
                             ? list_word::kLeaving
                             : list_word::kLive;
  entry* held = FindEntry(listed.vm);
  if (held == nullptr) {
    if (entries_.size() >= settings_.maximum_vms || listed.vm.empty()) {
      ++counters_.refused;
      return;
    }
    vm_record record = listed;
    record.incarnation = 0;
    held = &Insert(now, record);
  }
  held->list_seen = list_merges_;
  if (held->word != word) {
    held->word = word;
    held->word_since = now;
  }
  if (held == self_) {
    effects_.self_listed_as_leaving =
        word == list_word::kLeaving && held->record.state < vm_state::kLeaving;
    return;
  }
  if (word == list_word::kLive) {
    // The list may be outdated, so "live" does not bring back a VM that is
    // leaving or gone.
    held->refutations = 0;
    return;
  }
  const bool is_old_enough = held->record.incarnation == 0 ||
                             now - held->incarnation_since >= ListLagOf(*held);
  if (is_old_enough) {
    Declare(now, *held, vm_state::kLeaving);
  }
}

void membership::MergeAbsent(time_point now, entry& held) {
  if (held.record.incarnation == 0) {
    // The VM was known only from the list.
    Erase(held);
    return;
  }
  if (held.word != list_word::kAbsent) {
    held.word = list_word::kAbsent;
    held.word_since = now;
  }
  const bool left_with_domain =
      2 * held.domain->unlisted > held.domain->present;
  const duration patience = left_with_domain
                                ? settings_.absent_with_domain_after
                                : settings_.absent_after;
  if (held.reached != contact::kHeard && now - held.word_since >= patience &&
      now - held.incarnation_since >= ListLagOf(held)) {
    Declare(now, held, vm_state::kGone);
  }
}

}  // namespace wagtailmount
