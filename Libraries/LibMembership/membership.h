#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibBase/clock.h"
#include "LibMembership/membership_entry.h"
#include "LibMembership/record_hash.h"
#include "LibMembership/vm_record.h"
#include "LibRouting/routing_snapshot.h"

namespace wagtailmount {

struct membership_settings {
  /// A peer in this node's own failure domain is declared gone after being
  /// unreachable for this long.
  duration gone_after = std::chrono::seconds{10};
  /// Replaces `gone_after` where this node watches no other peer in the domain
  /// and so cannot tell a failed peer from a network partition.
  duration gone_after_as_sole_observer = std::chrono::seconds{60};
  /// How far the platform's list may lag. A "leaving" or missing entry in the
  /// list is ignored for an incarnation first seen less than this long ago.
  duration list_lag = std::chrono::minutes{5};
  /// A VM that this node has no working link to is declared gone after being
  /// absent from the list for this long.
  duration absent_after = std::chrono::minutes{1};
  /// Replaces `absent_after` while most VMs of the failure domain are absent
  /// from the list.
  duration absent_with_most_of_domain_after = std::chrono::hours{1};
  /// Failures in one failure domain count as simultaneous within this period.
  duration mass_failure_window = std::chrono::seconds{30};
  /// Records of gone VMs are kept for this long, so that delayed gossip does
  /// not bring them back.
  duration forget_gone_after = std::chrono::minutes{15};
  /// Upper bound of known VMs, gone ones included. Further VMs are refused, so
  /// that forged gossip can't exhaust the memory.
  std::size_t maximum_vms = 60'000;
};

/// What the caller must act on after one event. Records to pass on to peers
/// come from TakeDelta() instead.
struct membership_effects {
  /// UpstreamsOf() may return a different result for some service.
  bool upstreams_changed = false;
  /// This VM was declared leaving or gone, or an earlier process on it had a
  /// higher incarnation. This process raised its own incarnation above that;
  /// the delta has the new record.
  bool self_incarnation_raised = false;
  /// While this process was paused, a later one was started on this VM: this
  /// one should stop.
  bool self_superseded = false;
  /// The platform lists this VM as leaving while it serves.
  bool self_listed_as_leaving = false;
  /// The peer that caused the event holds an outdated record: send it this one.
  std::optional<vm_record> correction;
};

/// How a record reached this node.
enum class record_origin : std::uint8_t {
  kGossip,  ///< A peer passed on a change.
  /// Anti-entropy: the answer to this node's bucket hashes, or a correction of
  /// an outdated record. A node that joins receives the whole table this way.
  kRepair,
};

struct membership_counters {
  std::uint64_t merged = 0;    ///< Announcements that changed a record.
  std::uint64_t known = 0;     ///< Announcements without new information.
  std::uint64_t outdated = 0;  ///< Announcements older than the stored record.
  std::uint64_t refused = 0;   ///< Malformed, or over `maximum_vms`.
  std::uint64_t outdated_lists = 0;
  std::uint64_t declared_gone = 0;     ///< By this node.
  std::uint64_t declared_leaving = 0;  ///< By this node, from the list.
  std::uint64_t self_incarnation_raises = 0;
  std::uint64_t forgotten = 0;
};

/// This node's table of the VMs in the fleet. Records spread by gossip and
/// merge per VM: the higher incarnation wins, and within one incarnation the
/// state only advances. Nodes that received the same records, in whatever
/// order, therefore hold the same table.
///
/// What a VM announces about itself takes precedence. An unreachable link and
/// the platform's list are only evidence: a node may declare a VM leaving or
/// gone from them, and the VM refutes that by announcing a higher incarnation.
///
/// Does no I/O and reads no clock; callers pass the time. Not thread-safe.
class membership {
 public:
  /// `self` is this VM's record in state kStarting. Its first incarnation is
  /// the start time of the process in milliseconds since the Unix epoch.
  membership(const membership_settings& settings, const vm_record& self,
             time_point now);
  ~membership();
  membership(const membership&) = delete;
  membership& operator=(const membership&) = delete;

  /// Merges a record received from a peer. A previously unknown VM learned by a
  /// repair is not passed on: otherwise a joining node would send its peers the
  /// whole table that they already have.
  membership_effects MergeAnnouncement(
      time_point now, const vm_record& record,
      record_origin origin = record_origin::kGossip);

  /// Merges the platform's whole list of VMs at one revision. Lists with a
  /// lower revision than the last one merged are ignored.
  membership_effects MergePlatformList(time_point now,
                                       std::span<const vm_record> listed,
                                       std::uint64_t revision);

  /// This node's link to `vm` works, or does not. Repeated calls of
  /// PeerUnreachable() don't restart the timeout. A leaving VM is declared gone
  /// at once.
  membership_effects PeerReachable(time_point now, std::string_view vm);
  membership_effects PeerUnreachable(time_point now, std::string_view vm);
  /// This node's link to `vm` was closed without evidence of a failure.
  membership_effects StopWatching(time_point now, std::string_view vm);

  /// Declares VMs gone that were unreachable for long enough, and erases the
  /// records of VMs gone for `forget_gone_after`. Call it about once a second.
  membership_effects Tick(time_point now);

  /// The process was paused until `now`. Restarts all timeouts for unreachable
  /// and absent VMs, since this node could not have heard from them.
  void AfterPause(time_point now);

  /// Advances the state of this VM; an earlier or equal state has no effect.
  membership_effects AnnounceSelf(time_point now, vm_state state);

  /// Removes and returns at most `maximum` of the changed records to pass on to
  /// peers, each once and in its current state.
  std::vector<vm_record> TakeDelta(std::size_t maximum);
  std::size_t DeltaSize() const { return delta_.size(); }

  const vm_record& Self() const;

  /// Returns the record of a VM, or null. Gone VMs have one until it is erased.
  const vm_record* Find(std::string_view vm) const;

  /// Returns the records of all VMs that are not gone, in no particular order.
  /// VMs that only the platform's list names are included (incarnation 0).
  std::vector<vm_record> Records() const;
  /// As Records(), for one failure domain; the input of ReaderRank().
  std::vector<vm_record> RecordsOf(std::string_view failure_domain) const;
  void ForEachRecord(
      const std::function<void(const vm_record& record)>& visit) const;

  /// Returns the number of VMs that are not gone.
  std::size_t Size() const { return size_; }

  /// Returns a hash over the records of VMs that are not gone, without those
  /// that only the platform's list names. Equal tables have equal hashes.
  std::uint64_t Hash() const { return hash_.Total(); }
  std::span<const std::uint64_t, record_set_hash::kBuckets> BucketHashes()
      const {
    return hash_.Buckets();
  }

  /// Returns the records in the buckets whose hash differs from the peer's, the
  /// tombstones of gone VMs included, but not the VMs that only the platform's
  /// list names. Every bucket counts as different if `peer_bucket_hashes` has
  /// another size.
  std::vector<vm_record> RecordsToRepair(
      std::span<const std::uint64_t> peer_bucket_hashes) const;

  /// Returns the upstreams of a service: its serving and leaving VMs, and gone
  /// ones kept as a last resort. Null if no VM of the service is known. Returns
  /// the same object until something changes for that service.
  std::shared_ptr<const service_upstreams> UpstreamsOf(
      std::string_view service) const;

  /// Sets the failure domains whose upstreams are evacuated.
  membership_effects SetEvacuated(std::set<std::string> failure_domains);

  /// Whether this node knows a VM there, gone ones included.
  bool IsFailureDomainKnown(std::string_view failure_domain) const {
    return domains_.contains(failure_domain);
  }

  /// Returns UpstreamsOf() for every service with a known VM, sorted by name.
  std::vector<std::shared_ptr<const service_upstreams>> AllUpstreams() const;

  /// True while most of the peers that this node watches in the failure domain
  /// are unreachable, which is taken for a network partition.
  bool IsPartitioned(std::string_view failure_domain) const;

  const membership_counters& Counters() const { return counters_; }

 private:
  using entry = detail::membership_entry;

  entry* FindEntry(std::string_view vm);
  entry& Insert(time_point now, const vm_record& record);
  void Replace(time_point now, entry& member, const vm_record& record);
  void Attach(entry& member);
  void Detach(entry& member);
  void Erase(entry& member);
  void AddToDelta(entry& member);
  void RemoveFromDelta(entry& member);
  void InvalidateUpstreams(entry& member);
  void InvalidateDomainUpstreams(const detail::failure_domain_status& domain);

  membership_effects MergeSelf(time_point now, const vm_record& record);
  void RaiseSelfIncarnation(std::uint64_t above);
  void Declare(time_point now, entry& member, vm_state state);
  void RecordAbruptFailure(time_point now, entry& member);

  void SetLinkState(time_point now, entry& member,
                    detail::peer_link_state link);
  void UpdatePartitioned(detail::failure_domain_status& domain);
  void CheckUnreachable(time_point now, entry& member);
  void ForgetGone(time_point now);

  void MergeListed(time_point now, const vm_record& listed);
  void MergeAbsent(time_point now, entry& member);
  duration ListLagOf(const entry& member) const;

  std::shared_ptr<const service_upstreams> CachedUpstreams(
      detail::service_group& group) const;
  std::shared_ptr<const service_upstreams> BuildUpstreams(
      const detail::service_group& group) const;
  membership_effects TakeEffects();

  membership_settings settings_;
  std::unordered_map<std::string, entry, detail::string_hash, std::equal_to<>>
      entries_;
  std::map<std::string, std::unique_ptr<detail::failure_domain_status>,
           std::less<>>
      domains_;
  mutable std::map<std::string, std::unique_ptr<detail::service_group>,
                   std::less<>>
      services_;
  entry* self_ = nullptr;
  std::vector<entry*> watched_;
  std::deque<entry*> gone_;  ///< Tombstones, oldest `gone_since` first.
  std::deque<entry*> delta_;
  std::set<std::string> evacuated_;
  std::size_t size_ = 0;
  record_set_hash hash_;
  std::uint64_t list_revision_ = 0;
  std::uint64_t list_merges_ = 0;
  std::optional<time_point> paused_at_;
  membership_effects effects_;
  membership_counters counters_;
};

}  // namespace wagtailmount
