#include "LibMembership/membership.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace wagtailmount {

using detail::contact;
using detail::list_word;

namespace {

/// Incarnations are milliseconds since the Unix epoch. A value above this is
/// forged or corrupt and is refused, because the VM could not refute it with a
/// higher one.
constexpr std::uint64_t kHighestIncarnation = std::uint64_t{1} << 53U;

/// For this long after a pause, a higher incarnation of this VM is taken for a
/// process that replaced this one. Otherwise it is taken for an earlier process
/// whose clock was ahead.
constexpr duration kDoubtAfterPause = std::chrono::seconds{60};

/// Upper bound of membership_entry::refutations.
constexpr std::uint8_t kMostRefutations = 8;

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

membership::membership(const membership_settings& chosen, const vm_record& self,
                       time_point now)
    : settings_(chosen) {
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
  entry* held = FindEntry(record.vm);
  if (held == nullptr) {
    // Don't store the tombstone of an unknown VM: nodes that had erased it
    // would learn it again from each other, and it would never expire.
    if (record.state == vm_state::kGone) {
      ++counters_.known;
    } else if (entries_.size() >= settings_.maximum_vms) {
      ++counters_.refused;
    } else {
      entry& inserted = Insert(now, record);
      if (origin == record_origin::kNews) {
        AddToDelta(inserted);
      }
      ++counters_.merged;
    }
    return TakeEffects();
  }
  if (PrecedenceOf(held->record) < PrecedenceOf(record)) {
    Replace(now, *held, record);
    ++counters_.merged;
    return TakeEffects();
  }
  if (held->record == record) {
    ++counters_.known;
  } else {
    ++counters_.outdated;
    effects_.correction = held->record;
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
  const bool was_paused = paused_at_ && now - *paused_at_ < kDoubtAfterPause;
  if (own.state >= vm_state::kLeaving) {
    // A VM that leaves has nothing to refute, and raising its incarnation could
    // override the record of its replacement.
    ++counters_.known;
  } else if (is_later_process && was_paused) {
    effects_.self_superseded = true;
  } else {
    RaiseSelf(record.incarnation);
  }
  return TakeEffects();
}

void membership::RaiseSelf(std::uint64_t above) {
  hash_.Remove(self_->bucket, self_->hash);
  self_->record.incarnation = above + 1;
  self_->hash = HashOfRecord(self_->record);
  hash_.Add(self_->bucket, self_->hash);
  Invalidate(*self_);
  AddToDelta(*self_);
  ++counters_.self_raises;
  effects_.self_raised = true;
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
  entry& held = entries_[record.vm];
  held.record = record;
  held.incarnation_since = now;
  held.word_since = now;
  held.bucket = static_cast<std::uint8_t>(record_set_hash::BucketOf(record.vm));
  Attach(held);
  return held;
}

/// Replaces the record of an entry by one that takes precedence over it.
void membership::Replace(time_point now, entry& held, const vm_record& record) {
  const vm_state state_before = held.record.state;
  const bool is_new_incarnation = held.record.incarnation != record.incarnation;
  const bool dies_suddenly = !is_new_incarnation &&
                             state_before < vm_state::kLeaving &&
                             record.state == vm_state::kGone;
  if (is_new_incarnation && state_before >= vm_state::kLeaving &&
      held.word != list_word::kLive) {
    held.refutations =
        std::min<std::uint8_t>(held.refutations + 1, kMostRefutations);
  }
  if (is_new_incarnation || record.state == vm_state::kGone) {
    SetContact(now, held, contact::kNotWatched);
  }
  Detach(held);
  held.record = record;
  if (is_new_incarnation) {
    held.incarnation_since = now;
    held.is_kept = false;
  }
  Attach(held);
  AddToDelta(held);
  if (held.record.state == vm_state::kGone) {
    held.gone_since = now;
    gone_.push_back(&held);
  }
  if (dies_suddenly) {
    NoteSuddenDeath(now, held);
  }
}

/// Adds the entry to the table's size, its hash, its domain and its service.
void membership::Attach(entry& held) {
  const vm_record& record = held.record;
  auto& domain = domains_[record.failure_domain];
  if (!domain) {
    domain = std::make_unique<detail::domain_facts>();
    domain->failure_domain = record.failure_domain;
  }
  held.domain = domain.get();
  ++held.domain->records;
  if (record.state != vm_state::kGone) {
    ++size_;
    ++held.domain->present;
    if (record.incarnation > 0) {
      held.hash = HashOfRecord(record);
      hash_.Add(held.bucket, held.hash);
    }
  }
  auto& slot = services_[record.service];
  if (!slot) {
    slot = std::make_unique<detail::service_slot>();
    slot->service = record.service;
  }
  held.slot = slot.get();
  const auto place =
      std::lower_bound(slot->members.begin(), slot->members.end(), &held,
                       [](const entry* left, const entry* right) {
                         return left->record.vm < right->record.vm;
                       });
  slot->members.insert(place, &held);
  Invalidate(held);
}

/// Reverses Attach().
void membership::Detach(entry& held) {
  Invalidate(held);
  std::erase(held.slot->members, &held);
  if (held.slot->members.empty()) {
    services_.erase(services_.find(held.slot->service));
  }
  held.slot = nullptr;
  if (held.record.state == vm_state::kGone) {
    std::erase(gone_, &held);
  } else {
    --size_;
    --held.domain->present;
    hash_.Remove(held.bucket, held.hash);
    held.hash = 0;
  }
  std::erase(held.domain->sudden_deaths, &held);
  if (--held.domain->records == 0) {
    domains_.erase(domains_.find(held.domain->failure_domain));
  }
  held.domain = nullptr;
}

void membership::Erase(entry& held) {
  SetContact(time_point{}, held, contact::kNotWatched);
  RemoveFromDelta(held);
  Detach(held);
  entries_.erase(entries_.find(held.record.vm));
}

void membership::AddToDelta(entry& held) {
  // VMs known only from the platform's list don't spread by gossip: the nodes
  // that read the list distribute it.
  if (held.is_in_delta || held.record.incarnation == 0) {
    return;
  }
  held.is_in_delta = true;
  // This VM's own record goes first, since peers need it most.
  if (&held == self_) {
    delta_.push_front(&held);
  } else {
    delta_.push_back(&held);
  }
}

void membership::RemoveFromDelta(entry& held) {
  if (held.is_in_delta) {
    std::erase(delta_, &held);
    held.is_in_delta = false;
  }
}

std::vector<vm_record> membership::TakeDelta(std::size_t maximum) {
  std::vector<vm_record> records;
  records.reserve(std::min(maximum, delta_.size()));
  while (!delta_.empty() && records.size() < maximum) {
    entry& held = *delta_.front();
    delta_.pop_front();
    held.is_in_delta = false;
    records.push_back(held.record);
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
  for (const auto& [vm, held] : entries_) {
    if (held.record.state != vm_state::kGone) {
      visit(held.record);
    }
  }
}

std::vector<vm_record> membership::RecordsToRepair(
    std::span<const std::uint64_t> theirs) const {
  const auto own = hash_.Buckets();
  const bool is_whole = theirs.size() != own.size();
  std::vector<vm_record> records;
  for (const auto& [vm, held] : entries_) {
    const bool differs = is_whole || theirs[held.bucket] != own[held.bucket];
    if (differs && held.record.incarnation > 0) {
      records.push_back(held.record);
    }
  }
  return records;
}

membership_effects membership::TakeEffects() {
  return std::exchange(effects_, membership_effects{});
}

}  // namespace wagtailmount
