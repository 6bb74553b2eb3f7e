// Builds the upstreams of each service from the records, on demand.
#include "LibMembership/membership.h"

namespace wagtailmount {

using detail::membership_entry;
using detail::peer_link_state;

namespace {

bool IsUpstream(const membership_entry& member) {
  switch (member.record.state) {
    case vm_state::kStarting:
      return false;
    case vm_state::kServing:
    case vm_state::kLeaving:
      return true;
    case vm_state::kGone:
      return member.is_last_resort;
  }
  return false;
}

bool IsSuspect(const membership_entry& member) {
  return member.record.incarnation == 0 || member.is_last_resort ||
         member.link == peer_link_state::kUnreachable ||
         (member.domain->is_partitioned &&
          member.link != peer_link_state::kReachable);
}

}  // namespace

void membership::InvalidateUpstreams(entry& member) {
  member.group->cached_upstreams = nullptr;
  effects_.upstreams_changed = true;
}

void membership::InvalidateDomainUpstreams(
    const detail::failure_domain_status& domain) {
  for (auto& [vm, member] : entries_) {
    if (member.domain == &domain) {
      InvalidateUpstreams(member);
    }
  }
}

std::shared_ptr<const service_upstreams> membership::BuildUpstreams(
    const detail::service_group& group) const {
  auto result = std::make_shared<service_upstreams>();
  result->service = group.service;
  result->upstreams.reserve(group.members.size());
  for (const entry* member : group.members) {
    if (!IsUpstream(*member)) {
      continue;
    }
    const vm_record& record = member->record;
    result->upstreams.push_back(
        {record.vm, record.failure_domain, record.region, record.hop,
         record.incarnation, record.state == vm_state::kLeaving,
         IsSuspect(*member),
         /*backend_server_id=*/{}, evacuated_.contains(record.failure_domain)});
  }
  return result;
}

membership_effects membership::SetEvacuated(
    std::set<std::string> failure_domains) {
  if (evacuated_ != failure_domains) {
    evacuated_ = std::move(failure_domains);
    for (const auto& [service, group] : services_) {
      group->cached_upstreams = nullptr;
    }
    effects_.upstreams_changed = true;
  }
  return TakeEffects();
}

std::shared_ptr<const service_upstreams> membership::UpstreamsOf(
    std::string_view service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return nullptr;
  }
  return CachedUpstreams(*found->second);
}

std::shared_ptr<const service_upstreams> membership::CachedUpstreams(
    detail::service_group& group) const {
  if (!group.cached_upstreams) {
    group.cached_upstreams = BuildUpstreams(group);
  }
  return group.cached_upstreams;
}

std::vector<std::shared_ptr<const service_upstreams>> membership::AllUpstreams()
    const {
  std::vector<std::shared_ptr<const service_upstreams>> all;
  all.reserve(services_.size());
  for (const auto& [service, group] : services_) {
    all.push_back(CachedUpstreams(*group));
  }
  return all;
}

}  // namespace wagtailmount
