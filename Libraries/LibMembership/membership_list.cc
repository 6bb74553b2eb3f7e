// Merges the platform's list of VMs, which may lag behind their announcements.
#include "LibMembership/membership.h"

namespace wagtailmount {

using detail::list_status;
using detail::peer_link_state;

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
  for (auto& [vm, member] : entries_) {
    if (member.last_listed_merge != list_merges_ && &member != self_ &&
        member.record.state != vm_state::kGone) {
      ++member.domain->unlisted;
      absent.push_back(&member);
    }
  }
  for (entry* member : absent) {
    MergeAbsent(now, *member);
  }
  return TakeEffects();
}

/// Returns how long this node must have known an incarnation before the list
/// counts against it: until then, the list may still describe the previous
/// incarnation of the VM.
duration membership::ListLagOf(const entry& member) const {
  return settings_.list_lag * (std::int64_t{1} << member.refutations);
}

void membership::MergeListed(time_point now, const vm_record& listed) {
  const list_status listed_as = listed.state == vm_state::kLeaving
                                    ? list_status::kLeaving
                                    : list_status::kLive;
  entry* member = FindEntry(listed.vm);
  if (member == nullptr) {
    if (entries_.size() >= settings_.maximum_vms || listed.vm.empty()) {
      ++counters_.refused;
      return;
    }
    vm_record record = listed;
    record.incarnation = 0;
    member = &Insert(now, record);
  }
  member->last_listed_merge = list_merges_;
  if (member->listed_as != listed_as) {
    member->listed_as = listed_as;
    member->listed_since = now;
  }
  if (member == self_) {
    effects_.self_listed_as_leaving = listed_as == list_status::kLeaving &&
                                      member->record.state < vm_state::kLeaving;
    return;
  }
  if (listed_as == list_status::kLive) {
    // The list may be outdated, so "live" does not bring back a VM that is
    // leaving or gone.
    member->refutations = 0;
    return;
  }
  const bool is_old_enough =
      member->record.incarnation == 0 ||
      now - member->incarnation_since >= ListLagOf(*member);
  if (is_old_enough) {
    Declare(now, *member, vm_state::kLeaving);
  }
}

void membership::MergeAbsent(time_point now, entry& member) {
  if (member.record.incarnation == 0) {
    // The VM was known only from the list.
    Erase(member);
    return;
  }
  if (member.listed_as != list_status::kAbsent) {
    member.listed_as = list_status::kAbsent;
    member.listed_since = now;
  }
  const bool is_most_of_domain_absent =
      2 * member.domain->unlisted > member.domain->present;
  const duration timeout = is_most_of_domain_absent
                               ? settings_.absent_with_most_of_domain_after
                               : settings_.absent_after;
  if (member.link != peer_link_state::kReachable &&
      now - member.listed_since >= timeout &&
      now - member.incarnation_since >= ListLagOf(member)) {
    Declare(now, member, vm_state::kGone);
  }
}

}  // namespace wagtailmount
