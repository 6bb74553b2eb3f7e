#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibAdmin/event_log.h"
#include "LibBase/clock.h"
#include "LibBase/random.h"
#include "LibMembership/membership.h"
#include "LibMembership/pause_detector.h"
#include "LibNode/peer_links.h"
#include "LibNode/settings.h"
#include "LibRouting/routing_snapshot.h"
#include "LibSource/folder_reader.h"
#include "LibSource/reader_selection.h"
#include "LibSource/vm_list_reader.h"
#include "LibSpread/join_gate.h"
#include "LibSpread/spreader.h"

namespace wagtailmount {

/// Where this node stands in its life.
enum class node_phase : std::uint8_t { kJoining, kServing, kDraining };

std::string_view NameOf(node_phase phase);

/// How the version in force reached this node.
struct held_provenance {
  std::string from_peer;  ///< Empty when this node read it from the platform.
  std::uint32_t hops = 0;
  std::chrono::milliseconds source_age{0};  ///< When it went in force.
  std::int64_t since_unix_milliseconds = 0;
};

/// How soon accepted versions came in force here, counted from the start.
struct convergence_counts {
  std::uint64_t changes =
      0;                   ///< The first version of a process does not count.
  std::uint64_t late = 0;  ///< Past the least target of any service.
};

/// All control state of one node, on one thread: it brings the decision
/// libraries together, carries their effects to the links and publishes routing
/// snapshots. It does no I/O of its own.
class control_plane final : public peer_listener {
 public:
  /// Takes each snapshot that comes in force.
  using snapshot_taker =
      std::function<void(std::shared_ptr<const routing_snapshot>)>;

  /// `clock` and `platform` must outlive the object.
  control_plane(node_settings settings, const runtime_clock& clock,
                platform_client& platform, snapshot_taker publish,
                std::uint64_t seed);

  /// Must be called once before the first Tick().
  void UseHub(link_hub& hub) {
    hub_ = &hub;
    links_.UseHub(hub);
  }
  link_listener& Links() { return links_; }

  /// Moves everything on; call it every kTickPeriod.
  void Tick();
  static constexpr std::chrono::milliseconds kTickPeriod{50};

  /// Tells the fleet that this VM leaves. Traffic is drained by the caller.
  void BeginDrain();

  /// Tells the fleet that this VM is gone; the last thing a planned stop does.
  void AnnounceGone();

  /// True once this process knows that a later process of its VM runs.
  bool IsSuperseded() const { return is_superseded_; }

  node_phase Phase() const { return phase_; }
  const node_settings& Settings() const { return settings_; }
  const class membership& Membership() const { return membership_; }
  const class spreader& Spreader() const { return spreader_; }
  const folder_reader& FolderReader() const { return folder_reader_; }
  const read_budget& Budget() const { return budget_; }
  const peer_links& PeerLinks() const { return links_; }
  link_counters LinkCounters() const {
    return hub_ == nullptr ? link_counters{} : hub_->Counters();
  }
  const convergence_counts& Convergence() const { return convergence_; }
  const event_log& Events() const { return events_; }
  event_log& Events() { return events_; }
  const std::optional<held_provenance>& Provenance() const {
    return provenance_;
  }
  std::int64_t StartedUnixMilliseconds() const { return started_; }
  std::int64_t UnixMilliseconds() const { return clock_.UnixMilliseconds(); }
  std::optional<std::chrono::milliseconds> SourceAge() const {
    return spreader_.NewestSourceAge(clock_.Now());
  }
  /// The newest refusals, oldest first.
  const std::deque<refused_effect>& Refusals() const { return refusals_; }

  hello_message MakeHello(std::string_view peer_vm) override;
  void OnPeerUp(const std::string& peer_vm,
                const hello_message& hello) override;
  void OnPeerDown(const std::string& peer_vm, std::string_view reason) override;
  void OnPeerMessage(const std::string& peer_vm,
                     const message& content) override;

 private:
  folder_reader::callbacks ReaderCallbacks();
  void TakeVmList(std::span<const vm_record> list, std::uint64_t revision);
  void TakeSourceChange(const source_state_change& change);

  void TickEverySecond(time_point now);
  void TickJoining(time_point now);
  void BeginServing(std::uint64_t revision);
  void ChooseReaderRole(time_point now);
  void RankAsReader(time_point now);
  void ChoosePeers();
  void SendMembershipDelta(std::size_t maximum);
  void PublishIfChanged();

  void Apply(const spread_effects& effects);
  void ApplyEffect(const send_effect& effect);
  void ApplyEffect(const in_force_effect& effect);
  void CountConvergence(const in_force_effect& effect);
  void ApplyEffect(const refused_effect& effect);
  void ApplyEffect(const conflict_effect& effect);
  void Apply(const membership_effects& effects, std::string_view sender);

  void HandleMembership(const std::string& peer_vm,
                        const membership_message& received);
  void HandleMembershipRequest(const std::string& peer_vm,
                               const membership_request_message& request);
  void CompareMembership(const std::string& peer_vm,
                         const compare_message& compare);
  void RequestMembership(const std::string& peer_vm);

  node_settings settings_;
  const runtime_clock& clock_;
  snapshot_taker publish_;
  std::int64_t started_;
  random_source random_;
  event_log events_;
  class membership membership_;
  class spreader spreader_;
  join_gate gate_;
  read_budget budget_;
  folder_reader folder_reader_;
  vm_list_reader vm_list_reader_;
  peer_links links_;
  link_hub* hub_ = nullptr;
  pause_detector pauses_;

  node_phase phase_ = node_phase::kJoining;
  bool is_superseded_ = false;
  bool is_snapshot_due_ = false;
  bool are_peers_due_ = true;
  double jitter_;
  std::size_t reader_rank_ = 0;
  /// Of the membership that `reader_rank_` was worked out from.
  std::optional<std::uint64_t> ranked_hash_;
  std::size_t ranked_size_ = 0;
  time_point next_second_;
  std::optional<held_provenance> provenance_;
  std::deque<refused_effect> refusals_;
  convergence_counts convergence_;
  std::map<std::string, time_point, std::less<>> membership_requested_at_;
  std::map<std::string, bool, std::less<>> wanted_peers_;
};

}  // namespace wagtailmount
