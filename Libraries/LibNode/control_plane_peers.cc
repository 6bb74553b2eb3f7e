// The member functions of control_plane that handle peers and membership.

#include <glog/logging.h>

#include <algorithm>
#include <span>

#include "LibNode/control_plane.h"
#include "LibSpread/overlay.h"

namespace wagtailmount {

namespace {

/// The shortest time between two requests for membership records to one peer
/// whose membership hash differs.
constexpr std::chrono::seconds kMembershipRequestPeriod{5};

constexpr std::size_t kMaximumRecordsPerMessage = 256;

overlay_vm OverlayVmOf(const vm_record& record) {
  return {record.vm, record.region, record.failure_domain};
}

}  // namespace

hello_message control_plane::MakeHello(std::string_view peer_vm) {
  return spreader_.OurHello(membership_.Self(), peer_vm);
}

void control_plane::ChoosePeers() {
  std::vector<wanted_peer> wanted;
  wanted_peers_.clear();
  const auto records = membership_.Records();
  std::vector<overlay_vm> vms;
  vms.reserve(records.size());
  for (const auto& record : records) {
    vms.push_back(OverlayVmOf(record));
  }
  for (auto& link : LinksOf(OverlayVmOf(membership_.Self()), vms, {})) {
    const vm_record* record = membership_.Find(link.vm);
    if (record != nullptr) {
      wanted.push_back({link.vm, record->peer});
      wanted_peers_[link.vm] = true;
    }
  }
  join_gate_.SetExpectedPeers(wanted.size());
  // Connect to the configured seeds while no other peer is known.
  if (wanted.empty()) {
    for (const auto& seed : settings_.seeds) {
      wanted.push_back({"", seed});
    }
  }
  links_.SetWanted(wanted);
}

void control_plane::OnPeerUp(const std::string& peer_vm,
                             const hello_message& hello) {
  const time_point now = clock_.Now();
  events_.Add(event_kind::kPeer, hello.held.revision,
              "link to " + peer_vm + " opened");
  Apply(membership_.MergeAnnouncement(now, hello.sender), peer_vm);
  Apply(membership_.PeerReachable(now, peer_vm), peer_vm);
  join_gate_.NoteHello(hello);
  Apply(spreader_.PeerUp(now, peer_vm, hello));
  RequestMembership(peer_vm);
  crash_reports_.OnPeerUp(peer_vm);
  is_peer_choice_due_ = true;
}

void control_plane::OnPeerDown(const std::string& peer_vm,
                               std::string_view reason) {
  const time_point now = clock_.Now();
  events_.Add(event_kind::kPeer, 0,
              "link to " + peer_vm + " closed: " + std::string(reason));
  // A closed link hints at a failed peer only if this node wants that link: any
  // other one was opened by the peer, which closes it when it no longer needs
  // it.
  if (wanted_peers_.contains(peer_vm)) {
    Apply(membership_.PeerUnreachable(now, peer_vm), "");
  } else {
    Apply(membership_.StopWatching(now, peer_vm), "");
  }
  Apply(spreader_.PeerDown(now, peer_vm));
  membership_requested_at_.erase(peer_vm);
}

void control_plane::OnPeerMessage(const std::string& peer_vm,
                                  const message& content) {
  const time_point now = clock_.Now();
  Apply(membership_.PeerReachable(now, peer_vm), peer_vm);
  if (const auto* records = std::get_if<membership_message>(&content)) {
    HandleMembership(peer_vm, *records);
    return;
  }
  if (const auto* request = std::get_if<membership_request_message>(&content)) {
    HandleMembershipRequest(peer_vm, *request);
    return;
  }
  if (const auto* reports = std::get_if<crash_reports_message>(&content)) {
    crash_reports_.Handle(peer_vm, *reports);
    return;
  }
  if (const auto* compare = std::get_if<compare_message>(&content)) {
    CompareMembership(peer_vm, *compare);
  }
  Apply(spreader_.Handle(now, peer_vm, content));
}

void control_plane::HandleMembership(const std::string& peer_vm,
                                     const membership_message& received) {
  const record_origin origin =
      received.is_repair ? record_origin::kRepair : record_origin::kGossip;
  for (const auto& record : received.records) {
    Apply(membership_.MergeAnnouncement(clock_.Now(), record, origin), peer_vm);
  }
}

void control_plane::HandleMembershipRequest(
    const std::string& peer_vm, const membership_request_message& request) {
  const auto records = membership_.RecordsToRepair(request.bucket_hashes);
  std::span<const vm_record> rest(records);
  while (!rest.empty()) {
    const auto part =
        rest.first(std::min(kMaximumRecordsPerMessage, rest.size()));
    rest = rest.subspan(part.size());
    links_.Send(peer_vm, membership_message{{part.begin(), part.end()}, true});
  }
}

void control_plane::CompareMembership(const std::string& peer_vm,
                                      const compare_message& compare) {
  const auto asked = membership_requested_at_.find(peer_vm);
  const bool asked_lately =
      asked != membership_requested_at_.end() &&
      clock_.Now() - asked->second < kMembershipRequestPeriod;
  if (compare.membership_hash != membership_.Hash() && !asked_lately) {
    RequestMembership(peer_vm);
  }
}

void control_plane::RequestMembership(const std::string& peer_vm) {
  membership_requested_at_[peer_vm] = clock_.Now();
  const auto hashes = membership_.BucketHashes();
  links_.Send(peer_vm,
              membership_request_message{{hashes.begin(), hashes.end()}});
}

void control_plane::Apply(const membership_effects& effects,
                          std::string_view sender) {
  is_snapshot_due_ |= effects.upstreams_changed;
  is_peer_choice_due_ |= effects.upstreams_changed;
  is_superseded_ |= effects.self_superseded;
  if (effects.self_incarnation_raised) {
    events_.Add(event_kind::kMembership, 0,
                "this VM was declared leaving or gone, or an earlier process "
                "of it had a higher incarnation; it now announces " +
                    std::to_string(membership_.Self().incarnation));
  }
  if (effects.self_listed_as_leaving) {
    events_.Add(event_kind::kMembership, 0,
                "the platform lists this VM as leaving while it is serving");
  }
  if (effects.correction && !sender.empty()) {
    links_.Send(sender, membership_message{{*effects.correction}, true});
  }
}

}  // namespace wagtailmount
