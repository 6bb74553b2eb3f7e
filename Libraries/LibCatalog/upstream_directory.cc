#include "LibCatalog/upstream_directory.h"

#include <algorithm>
#include <functional>
#include <set>

namespace wagtailmount {

namespace {

/// The queue limit of an owner, as a multiple of its slots. Admission control
/// refuses requests that would wait too long; this limit bounds the memory.
constexpr std::uint32_t kQueueLimitPerSlot = 8;

/// How long a leaving backend server is remembered: many times as long as one
/// can go on serving.
constexpr std::chrono::minutes kLeavingRetention{5};

// A platform that was restored counts creations anew, so a stated birth tells
// more than the creation of the registration.
bool IsLaterStart(const registered_upstream& left,
                  const registered_upstream& right) {
  const std::int64_t born = left.record.born;
  const std::int64_t other = right.record.born;
  return born != 0 && other != 0 && born != other
             ? born > other
             : left.created > right.created;
}

std::uint64_t IncarnationOf(const registered_upstream& registered) {
  const upstream_record& record = registered.record;
  const std::string name = record.id + '@' + std::to_string(record.born);
  // 0 stands for an unknown start.
  return std::max<std::uint64_t>(1, std::hash<std::string>{}(name));
}

}  // namespace

void upstream_directory::RememberLeaving(
    time_point now, std::span<const registered_upstream> registered) {
  std::erase_if(leaving_since_, [now](const auto& item) {
    return now - item.second > kLeavingRetention;
  });
  std::erase_if(removed_, [now](const auto& item) {
    return now - item.second.since > kLeavingRetention;
  });
  std::erase_if(newest_births_, [now](const auto& item) {
    return now - item.second.seen_at > kLeavingRetention;
  });
  for (const registered_upstream& each : registered) {
    if (each.record.is_leaving) {
      leaving_since_.emplace(KeyOf(each), now);
    }
    RecordBirth(now, each);
  }
}

void upstream_directory::RecordBirth(time_point now,
                                     const registered_upstream& registered) {
  const std::int64_t born = registered.record.born;
  newest_birth& newest = newest_births_[registered.record.id];
  newest.seen_at = now;
  if (born == newest.born) {
    newest.other_born = 0;
    return;
  }
  if (born > newest.born && born != newest.replaced_born) {
    newest = {born, now};
  } else if (newest.other_born != born) {
    newest.other_born = born;
    newest.other_revision = registered.revision;
  } else if (registered.revision > newest.other_revision) {
    newest = {.born = born,
              .seen_at = now,
              .replaced_born = std::max(newest.born, newest.replaced_born)};
  }
}

void upstream_directory::Update(time_point now,
                                std::span<const registered_upstream> registered,
                                time_point keep_missing_until) {
  RememberLeaving(now, registered);
  std::map<std::string, entry, std::less<>> updated;
  for (const registered_upstream& each : registered) {
    if (IsOfOtherBirth(each)) {
      // The later start writes its registration again.
      if (const auto held = entries_.find(each.record.id);
          held != entries_.end()) {
        updated.insert(*held);
      }
      continue;
    }
    entry fresh{each, {}};
    fresh.registered.record.is_leaving = IsLeaving(each);
    updated.emplace(each.record.id, std::move(fresh));
  }
  for (auto& [id, held] : entries_) {
    if (updated.contains(id)) {
      continue;
    }
    if (held.dropped_at == time_point{}) {
      held.dropped_at = keep_missing_until;
    }
    if (now < held.dropped_at && !held.registered.record.is_leaving) {
      updated.emplace(id, std::move(held));
    } else {
      removed_[KeyOf(held.registered)] = {held.registered.created, now};
    }
  }
  entries_ = std::move(updated);
  UpdateOwn(now);
}

bool upstream_directory::Expire(time_point now) {
  const bool has_expired = std::erase_if(entries_, [now](const auto& item) {
                             const time_point end = item.second.dropped_at;
                             return end != time_point{} && now >= end;
                           }) > 0;
  if (has_expired) {
    UpdateOwn(now);
  }
  return has_expired;
}

bool upstream_directory::IsOfOtherBirth(
    const registered_upstream& registered) const {
  const auto newest = newest_births_.find(registered.record.id);
  return newest != newest_births_.end() &&
         registered.record.born != newest->second.born;
}

// A registration that was removed and shows again without having been created
// again comes from a copy of the platform's entries; its backend server left.
bool upstream_directory::IsLeaving(
    const registered_upstream& registered) const {
  const start_key key = KeyOf(registered);
  const auto removed = removed_.find(key);
  const bool is_restored = removed != removed_.end() &&
                           removed->second.created == registered.created;
  return is_restored || leaving_since_.contains(key);
}

void upstream_directory::UpdateOwn(time_point now) {
  UpdateOwnLeaving(now);
  UpdateOwnColdness(now);
}

// What a registration states holds from its writing on, and each writing has a
// revision of its own, also when it states the same again.
void upstream_directory::UpdateOwnColdness(time_point now) {
  const entry* const own = OwnEntry();
  if (own == nullptr) {
    return;
  }
  const std::uint64_t incarnation = IncarnationOf(own->registered);
  if (own_revision_ == own->registered.revision &&
      own_incarnation_ == incarnation && own_cold_stated_at_ != time_point{}) {
    return;
  }
  own_revision_ = own->registered.revision;
  own_incarnation_ = incarnation;
  own_cold_remaining_ = own->registered.record.cold_remaining;
  own_cold_stated_at_ = now;
}

void upstream_directory::UpdateOwnLeaving(time_point now) {
  const entry* const own = OwnEntry();
  if (own == nullptr) {
    if (own_leaving_since_ == time_point{}) {
      own_leaving_since_ = now;
    }
    return;
  }
  last_own_slots_ = own->registered.record.slots;
  if (!own->registered.record.is_leaving) {
    own_leaving_since_ = time_point{};
  } else if (const auto told = leaving_since_.find(KeyOf(own->registered));
             told != leaving_since_.end()) {
    own_leaving_since_ = told->second;
  } else if (own_leaving_since_ == time_point{}) {
    own_leaving_since_ = now;
  }
}

// A backend server that was started later at the same address has replaced the
// earlier one.
bool upstream_directory::IsSuperseded(const entry& candidate) const {
  const registered_upstream& its = candidate.registered;
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    const registered_upstream& other = item.second.registered;
    return other.record.backend_server == its.record.backend_server &&
           IsLaterStart(other, its);
  });
}

std::vector<std::shared_ptr<const service_upstreams>>
upstream_directory::Upstreams() const {
  std::map<std::string, std::shared_ptr<service_upstreams>> services;
  for (const auto& [id, held] : entries_) {
    const upstream_record& record = held.registered.record;
    if (IsSuperseded(held)) {
      continue;
    }
    auto& built = services[record.service];
    if (built == nullptr) {
      built = std::make_shared<service_upstreams>();
      built->service = record.service;
    }
    upstream added;
    added.vm = record.backend_server.address;
    added.failure_domain = record.failure_domain;
    added.region = settings_.region;
    added.hop = {record.backend_server.address, settings_.hop_port};
    added.incarnation = IncarnationOf(held.registered);
    added.is_leaving = record.is_leaving;
    added.backend_server_id = id;
    added.is_evacuated = evacuations_.IsEvacuated(record.failure_domain);
    built->upstreams.push_back(std::move(added));
  }
  std::vector<std::shared_ptr<const service_upstreams>> all;
  all.reserve(services.size());
  for (auto& [service, built] : services) {
    all.push_back(std::move(built));
  }
  return all;
}

// A registration of another service at this address belongs to an earlier
// backend server.
const upstream_directory::entry* upstream_directory::OwnEntry() const {
  const entry* own = nullptr;
  for (const auto& [id, held] : entries_) {
    const upstream_record& record = held.registered.record;
    const bool is_own = record.backend_server == settings_.own_backend_server &&
                        record.service == settings_.own_service;
    if (is_own &&
        (own == nullptr || IsLaterStart(held.registered, own->registered))) {
      own = &held;
    }
  }
  return own;
}

own_backend_server upstream_directory::OwnBackendServer(
    const upstream_limits& declared) const {
  own_backend_server own;
  own.service = settings_.own_service;
  own.limits = declared;
  if (last_own_slots_ > 0) {
    own.limits.slots = last_own_slots_;
  }
  own.fleet_size =
      std::max<std::uint32_t>(1, static_cast<std::uint32_t>(entries_.size()));
  own.limits.queue = own.limits.slots * kQueueLimitPerSlot;
  own.leaving_since = own_leaving_since_;
  const entry* const registered = OwnEntry();
  const std::string& domain =
      registered == nullptr ? settings_.failure_domain
                            : registered->registered.record.failure_domain;
  own.evacuated_since = evacuations_.Since(domain);
  own.evacuation_ended_at = evacuations_.EndedAt(domain);
  own.incarnation = own_incarnation_;
  own.cold_remaining = own_cold_remaining_;
  own.cold_stated_at = own_cold_stated_at_;
  return own;
}

bool upstream_directory::IsFailureDomainKnown(
    std::string_view failure_domain) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    return item.second.registered.record.failure_domain == failure_domain;
  });
}

std::vector<node_location> upstream_directory::ActiveNodes() const {
  std::map<std::string, std::string> found;
  for (const auto& [id, held] : entries_) {
    const upstream_record& record = held.registered.record;
    if (!record.is_leaving) {
      found[record.backend_server.address] = record.failure_domain;
    }
  }
  std::vector<node_location> all;
  all.reserve(found.size());
  for (auto& [vm, domain] : found) {
    all.push_back({vm, domain});
  }
  return all;
}

}  // namespace wagtailmount
