// Builds the upstreams of each service from the records, on demand.
#include "LibMembership/membership.h"

namespace wagtailmount {

using detail::contact;
using detail::membership_entry;

namespace {

bool IsUpstream(const membership_entry& held) {
  switch (held.record.state) {
    case vm_state::kStarting:
      return false;
    case vm_state::kServing:
    case vm_state::kLeaving:
      return true;
    case vm_state::kGone:
      return held.is_kept;
  }
  return false;
}

bool IsSuspect(const membership_entry& held) {
  return held.record.incarnation == 0 || held.is_kept ||
         held.reached == contact::kLost ||
         (held.domain->is_cut && held.reached != contact::kHeard);
}

}  // namespace

void membership::Invalidate(entry& held) {
  held.slot->built = nullptr;
  effects_.upstreams_changed = true;
}

void membership::InvalidateDomain(const detail::domain_facts& domain) {
  for (auto& [vm, held] : entries_) {
    if (held.domain == &domain) {
      Invalidate(held);
    }
  }
}

std::shared_ptr<const service_upstreams> membership::Build(
    const detail::service_slot& slot) const {
  auto built = std::make_shared<service_upstreams>();
  built->service = slot.service;
  built->upstreams.reserve(slot.members.size());
  for (const entry* held : slot.members) {
    if (!IsUpstream(*held)) {
      continue;
    }
    const vm_record& record = held->record;
    built->upstreams.push_back({record.vm, record.failure_domain, record.region,
                                record.hop, record.incarnation,
                                record.state == vm_state::kLeaving,
                                IsSuspect(*held),
                                /*backend_server_id=*/{}});
  }
  return built;
}

std::shared_ptr<const service_upstreams> membership::UpstreamsOf(
    std::string_view service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return nullptr;
  }
  return BuiltFrom(*found->second);
}

std::shared_ptr<const service_upstreams> membership::BuiltFrom(
    detail::service_slot& slot) const {
  if (!slot.built) {
    slot.built = Build(slot);
  }
  return slot.built;
}

std::vector<std::shared_ptr<const service_upstreams>> membership::AllUpstreams()
    const {
  std::vector<std::shared_ptr<const service_upstreams>> all;
  all.reserve(services_.size());
  for (const auto& [service, slot] : services_) {
    all.push_back(BuiltFrom(*slot));
  }
  return all;
}

}  // namespace wagtailmount
