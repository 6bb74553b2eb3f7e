#include "LibMembership/membership.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace wagtailmount {

using detail::list_status;
using detail::peer_link_state;

namespace {

/// Incarnations are milliseconds since the Unix epoch. A value above this is
/// forged or corrupt and is refused, because the VM could not refute it with a
/// higher one.
constexpr std::uint64_t kHighestIncarnation = std::uint64_t{1} << 53U;

/// For this long after a pause, a higher incarnation of this VM is taken for a
/// process that replaced this one. Otherwise it is taken for an earlier process
/// whose clock was ahead.
constexpr duration kReplacementWindowAfterPause = std::chrono::seconds{60};

/// Upper bound of membership_entry::refutations.
constexpr std::uint8_t kMaxRefutations = 8;

/// Total order of the records of one VM: the greatest wins, on every node. The
/// fields after the state matter only if two processes took the same
/// incarnation.
auto PrecedenceOf(const vm_record& record) {
  return std::tie(record.incarnation, record.state, record.region,
                  record.failure_domain, record.service, record.peer.address,
                  record.peer.port, record.hop.address, record.hop.port);
}

bool IsWellFormed(const vm_record& record) {
  return !record.vm.empty() && !record.failure_domain.empty() &&
         record.incarnation > 0 && record.incarnation <= kHighestIncarnation &&
         record.state <= vm_state::kGone;
}

}  // namespace

membership::membership(const membership_settings& settings,
                       const vm_record& self, time_point now)
    : settings_(settings) {
  self_ = &Insert(now, self);
  AddToDelta(*self_);
}

membership::~membership() = default;

const vm_record& membership::Self() const { return self_->record; }

membership_effects membership::MergeAnnouncement(time_point now,
                                                 const vm_record& record,
                                                 record_origin origin) {
  if (!IsWellFormed(record)) {
    ++counters_.refused;
    return TakeEffects();
  }
  if (record.vm == self_->record.vm) {
    return MergeSelf(now, record);
  }
  entry* member = FindEntry(record.vm);
  if (member == nullptr) {
    // Don't store the tombstone of an unknown VM: nodes that had erased it
    // would learn it again from each other, and it would never expire.
    if (record.state == vm_state::kGone) {
      ++counters_.known;
    } else if (entries_.size() >= settings_.maximum_vms) {
      ++counters_.refused;
    } else {
      entry& inserted = Insert(now, record);
      if (origin == record_origin::kGossip) {
        AddToDelta(inserted);
      }
      ++counters_.merged;
    }
    return TakeEffects();
  }
  if (PrecedenceOf(member->record) < PrecedenceOf(record)) {
    Replace(now, *member, record);
    ++counters_.merged;
    return TakeEffects();
  }
  if (member->record == record) {
    ++counters_.known;
  } else {
    ++counters_.outdated;
    effects_.correction = member->record;
  }
  return TakeEffects();
}

membership_effects membership::MergeSelf(time_point now,
                                         const vm_record& record) {
  const vm_record& own = self_->record;
  if (record == own) {
    ++counters_.known;
    return TakeEffects();
  }
  if (PrecedenceOf(record) < PrecedenceOf(own)) {
    ++counters_.outdated;
    effects_.correction = own;
    return TakeEffects();
  }
  const bool is_later_process =
      record.incarnation > own.incarnation && record.state < vm_state::kLeaving;
  const bool was_paused =
      paused_at_ && now - *paused_at_ < kReplacementWindowAfterPause;
  if (own.state >= vm_state::kLeaving) {
    // A VM that leaves has nothing to refute, and raising its incarnation could
    // override the record of its replacement.
    ++counters_.known;
  } else if (is_later_process && was_paused) {
    effects_.self_superseded = true;
  } else {
    RaiseSelfIncarnation(record.incarnation);
  }
  return TakeEffects();
}

void membership::RaiseSelfIncarnation(std::uint64_t above) {
  hash_.Remove(self_->bucket, self_->hash);
  self_->record.incarnation = above + 1;
  self_->hash = HashOfRecord(self_->record);
  hash_.Add(self_->bucket, self_->hash);
  InvalidateUpstreams(*self_);
  AddToDelta(*self_);
  ++counters_.self_incarnation_raises;
  effects_.self_incarnation_raised = true;
}

membership_effects membership::AnnounceSelf(time_point now, vm_state state) {
  if (state > self_->record.state) {
    vm_record record = self_->record;
    record.state = state;
    Replace(now, *self_, record);
  }
  return TakeEffects();
}

membership::entry* membership::FindEntry(std::string_view vm) {
  const auto found = entries_.find(vm);
  return found == entries_.end() ? nullptr : &found->second;
}

const vm_record* membership::Find(std::string_view vm) const {
  const auto found = entries_.find(vm);
  return found == entries_.end() ? nullptr : &found->second.record;
}

membership::entry& membership::Insert(time_point now, const vm_record& record) {
  entry& member = entries_[record.vm];
  member.record = record;
  member.incarnation_since = now;
  member.listed_since = now;
  member.bucket =
      static_cast<std::uint8_t>(record_set_hash::BucketOf(record.vm));
  Attach(member);
  return member;
}

/// Replaces the record of an entry by one that takes precedence over it.
void membership::Replace(time_point now, entry& member,
                         const vm_record& record) {
  const vm_state state_before = member.record.state;
  const bool is_new_incarnation =
      member.record.incarnation != record.incarnation;
  const bool failed_without_leaving = !is_new_incarnation &&
                                      state_before < vm_state::kLeaving &&
                                      record.state == vm_state::kGone;
  if (is_new_incarnation && state_before >= vm_state::kLeaving &&
      member.listed_as != list_status::kLive) {
    member.refutations =
        std::min<std::uint8_t>(member.refutations + 1, kMaxRefutations);
  }
  if (is_new_incarnation || record.state == vm_state::kGone) {
    SetLinkState(now, member, peer_link_state::kNotWatched);
  }
  Detach(member);
  member.record = record;
  if (is_new_incarnation) {
    member.incarnation_since = now;
    member.is_last_resort = false;
  }
  Attach(member);
  AddToDelta(member);
  if (member.record.state == vm_state::kGone) {
    member.gone_since = now;
    gone_.push_back(&member);
  }
  if (failed_without_leaving) {
    RecordAbruptFailure(now, member);
  }
}

/// Adds the entry to the table's size, its hash, its domain and its service.
void membership::Attach(entry& member) {
  const vm_record& record = member.record;
  auto& domain = domains_[record.failure_domain];
  if (!domain) {
    domain = std::make_unique<detail::failure_domain_status>();
    domain->failure_domain = record.failure_domain;
  }
  member.domain = domain.get();
  ++member.domain->records;
  if (record.state != vm_state::kGone) {
    ++size_;
    ++member.domain->present;
    if (record.incarnation > 0) {
      member.hash = HashOfRecord(record);
      hash_.Add(member.bucket, member.hash);
    }
  }
  auto& group = services_[record.service];
  if (!group) {
    group = std::make_unique<detail::service_group>();
    group->service = record.service;
  }
  member.group = group.get();
  const auto place =
      std::lower_bound(group->members.begin(), group->members.end(), &member,
                       [](const entry* left, const entry* right) {
                         return left->record.vm < right->record.vm;
                       });
  group->members.insert(place, &member);
  InvalidateUpstreams(member);
}

/// Reverses Attach().
void membership::Detach(entry& member) {
  InvalidateUpstreams(member);
  std::erase(member.group->members, &member);
  if (member.group->members.empty()) {
    services_.erase(services_.find(member.group->service));
  }
  member.group = nullptr;
  if (member.record.state == vm_state::kGone) {
    std::erase(gone_, &member);
  } else {
    --size_;
    --member.domain->present;
    hash_.Remove(member.bucket, member.hash);
    member.hash = 0;
  }
  std::erase(member.domain->abrupt_failures, &member);
  if (--member.domain->records == 0) {
    domains_.erase(domains_.find(member.domain->failure_domain));
  }
  member.domain = nullptr;
}

void membership::Erase(entry& member) {
  SetLinkState(time_point{}, member, peer_link_state::kNotWatched);
  RemoveFromDelta(member);
  Detach(member);
  entries_.erase(entries_.find(member.record.vm));
}

void membership::AddToDelta(entry& member) {
  // VMs known only from the platform's list don't spread by gossip: the nodes
  // that read the list distribute it.
  if (member.is_in_delta || member.record.incarnation == 0) {
    return;
  }
  member.is_in_delta = true;
  // This VM's own record goes first, since peers need it most.
  if (&member == self_) {
    delta_.push_front(&member);
  } else {
    delta_.push_back(&member);
  }
}

void membership::RemoveFromDelta(entry& member) {
  if (member.is_in_delta) {
    std::erase(delta_, &member);
    member.is_in_delta = false;
  }
}

std::vector<vm_record> membership::TakeDelta(std::size_t maximum) {
  std::vector<vm_record> records;
  records.reserve(std::min(maximum, delta_.size()));
  while (!delta_.empty() && records.size() < maximum) {
    entry& member = *delta_.front();
    delta_.pop_front();
    member.is_in_delta = false;
    records.push_back(member.record);
  }
  return records;
}

std::vector<vm_record> membership::Records() const {
  std::vector<vm_record> records;
  records.reserve(size_);
  ForEachRecord(
      [&records](const vm_record& record) { records.push_back(record); });
  return records;
}

std::vector<vm_record> membership::RecordsOf(
    std::string_view failure_domain) const {
  std::vector<vm_record> records;
  ForEachRecord([&](const vm_record& record) {
    if (record.failure_domain == failure_domain) {
      records.push_back(record);
    }
  });
  return records;
}

void membership::ForEachRecord(
    const std::function<void(const vm_record& record)>& visit) const {
  for (const auto& [vm, member] : entries_) {
    if (member.record.state != vm_state::kGone) {
      visit(member.record);
    }
  }
}

std::vector<vm_record> membership::RecordsToRepair(
    std::span<const std::uint64_t> peer_bucket_hashes) const {
  const auto own = hash_.Buckets();
  const bool has_no_peer_hashes = peer_bucket_hashes.size() != own.size();
  std::vector<vm_record> records;
  for (const auto& [vm, member] : entries_) {
    const bool differs =
        has_no_peer_hashes ||
        peer_bucket_hashes[member.bucket] != own[member.bucket];
    if (differs && member.record.incarnation > 0) {
      records.push_back(member.record);
    }
  }
  return records;
}

membership_effects membership::TakeEffects() {
  return std::exchange(effects_, membership_effects{});
}

}  // namespace wagtailmount
