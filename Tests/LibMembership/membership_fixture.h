#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/clock.h"
#include "LibMembership/membership.h"

namespace wagtailmount {

/// Returns the record of a VM of the service "ledger". All VMs have the same
/// addresses.
inline vm_record Vm(std::string_view vm, std::string_view domain = "fsd-hall",
                    std::uint64_t incarnation = 1'000,
                    vm_state state = vm_state::kServing) {
  vm_record record;
  record.vm = vm;
  record.region = "pk-central";
  record.failure_domain = domain;
  record.service = "ledger";
  record.peer = {"127.0.0.1", 7102};
  record.hop = {"127.0.0.1", 7101};
  record.incarnation = incarnation;
  record.state = state;
  return record;
}

/// The membership table of the VM "self" in the failure domain fsd-hall, on a
/// clock that the test advances.
struct membership_fixture {
  manual_clock clock;
  membership table{
      {}, Vm("self", "fsd-hall", 500, vm_state::kStarting), clock.Now()};

  membership_effects Announce(const vm_record& record) {
    return table.MergeAnnouncement(clock.Now(), record);
  }
  membership_effects MergeList(const std::vector<vm_record>& listed) {
    return table.MergePlatformList(clock.Now(), listed, ++revision);
  }
  void MarkReachable(std::string_view vm) {
    table.PeerReachable(clock.Now(), vm);
  }
  void MarkUnreachable(std::string_view vm) {
    table.PeerUnreachable(clock.Now(), vm);
  }

  /// Advances the clock by `period`, with a Tick() each second.
  void Run(duration period) {
    const time_point end = clock.Now() + period;
    while (clock.Now() < end) {
      clock.Advance(std::chrono::seconds{1});
      table.Tick(clock.Now());
    }
  }

  /// Returns the state of a VM; kGone if there is no record of it.
  vm_state StateOf(std::string_view vm) const {
    const vm_record* record = table.Find(vm);
    return record == nullptr ? vm_state::kGone : record->state;
  }

  /// Returns the upstream of the service "ledger" on a VM, or null.
  const upstream* UpstreamAt(std::string_view vm) {
    upstreams = table.UpstreamsOf("ledger");
    if (!upstreams) {
      return nullptr;
    }
    const auto found =
        std::find_if(upstreams->upstreams.begin(), upstreams->upstreams.end(),
                     [vm](const upstream& one) { return one.vm == vm; });
    return found == upstreams->upstreams.end() ? nullptr : &*found;
  }
  bool IsSuspect(std::string_view vm) {
    const upstream* found = UpstreamAt(vm);
    return found != nullptr && found->is_suspect;
  }

  std::uint64_t revision = 0;
  std::shared_ptr<const service_upstreams> upstreams;
};

}  // namespace wagtailmount
