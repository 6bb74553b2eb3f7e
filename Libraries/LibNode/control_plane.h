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
#include "LibNode/crash_report_relay.h"
#include "LibNode/peer_links.h"
#include "LibNode/settings.h"
#include "LibRouting/evacuation_table.h"
#include "LibRouting/routing_snapshot.h"
#include "LibSource/folder_reader.h"
#include "LibSource/reader_selection.h"
#include "LibSource/vm_list_reader.h"
#include "LibSpread/join_gate.h"
#include "LibSpread/spreader.h"

namespace wagtailmount {

/// The phase of a node's life cycle: joining the fleet, serving requests or
/// draining before it stops.
enum class node_phase : std::uint8_t { kJoining, kServing, kDraining };

std::string_view NameOf(node_phase phase);

/// From where and when this node got the configuration version in force.
struct version_provenance {
  std::string from_peer;   ///< Empty when this node read it from the platform.
  std::uint32_t hops = 0;  ///< Links passed since the node that read it from
                           ///< the platform; 0 also if that is not known.
  std::chrono::milliseconds source_age{
      0};  ///< Age of the platform's last confirmation when the version came in
           ///< force.
  std::int64_t since_unix_milliseconds = 0;
};

/// How many accepted versions came in force on this node since its process
/// started, and how many of them missed the convergence target.
struct convergence_counts {
  std::uint64_t changes = 0;  ///< Without the first version after the start.
  std::uint64_t late = 0;     ///< Later than the shortest convergence target of
                              ///< any service.
};

/// Holds all control state of one node whose platform publishes a folder:
/// membership, configuration and peer links. Calls the libraries that decide,
/// applies the effects that they return (messages to peers, events) and
/// publishes routing snapshots. Runs on one thread and does no I/O itself.
class control_plane final : public peer_listener {
 public:
  /// Called with each new routing snapshot.
  using snapshot_publisher =
      std::function<void(std::shared_ptr<const routing_snapshot>)>;

  /// `clock` and `platform` must outlive the object.
  control_plane(node_settings settings, const runtime_clock& clock,
                platform_client& platform, snapshot_publisher publish,
                std::uint64_t seed);

  /// Sets the hub that opens links and sends frames. Must be called once,
  /// before the first Tick().
  void SetLinkHub(link_hub& hub) {
    hub_ = &hub;
    links_.SetLinkHub(hub);
  }
  link_listener& LinkListener() { return links_; }

  /// Sets where crash reports are kept. Must outlive the object.
  void SetCrashReports(crash_report_store& store) {
    crash_reports_.SetStore(store);
  }
  /// Sends what this node found out to its peers, without waiting for Tick().
  void SendCrashReports() { crash_reports_.SendNews(); }

  /// Does all periodic work and everything whose time has come. Must be called
  /// every kTickPeriod.
  void Tick();
  static constexpr std::chrono::milliseconds kTickPeriod{50};

  /// Announces to the fleet that this VM is leaving. Draining the requests in
  /// flight is up to whoever calls this.
  void BeginDrain();

  /// Announces to the fleet that this VM is gone. It is the last step of a
  /// planned stop.
  void AnnounceGone();

  /// True once this process has learnt that a newer process runs on its VM.
  bool IsSuperseded() const { return is_superseded_; }

  node_phase Phase() const { return phase_; }
  const node_settings& Settings() const { return settings_; }
  const class membership& Membership() const { return membership_; }
  const class spreader& Spreader() const { return spreader_; }
  const folder_reader& FolderReader() const { return folder_reader_; }
  const read_budget& ReadBudget() const { return read_budget_; }
  const peer_links& PeerLinks() const { return links_; }
  link_counters LinkCounters() const {
    return hub_ == nullptr ? link_counters{} : hub_->Counters();
  }
  const convergence_counts& Convergence() const { return convergence_; }
  const event_log& Events() const { return events_; }
  event_log& Events() { return events_; }
  const std::optional<version_provenance>& Provenance() const {
    return provenance_;
  }
  std::int64_t StartedUnixMilliseconds() const { return started_unix_ms_; }
  std::int64_t UnixMilliseconds() const { return clock_.UnixMilliseconds(); }
  std::optional<std::chrono::milliseconds> SourceAge() const {
    return spreader_.NewestSourceAge(clock_.Now());
  }
  /// The latest refused versions, oldest first.
  const std::deque<refused_effect>& Refusals() const { return refusals_; }

  hello_message MakeHello(std::string_view peer_vm) override;
  void OnPeerUp(const std::string& peer_vm,
                const hello_message& hello) override;
  void OnPeerDown(const std::string& peer_vm, std::string_view reason) override;
  void OnPeerMessage(const std::string& peer_vm,
                     const message& content) override;

  /// The failure domains that are evacuated.
  const evacuation_table& Evacuations() const { return evacuations_; }

 private:
  folder_reader::callbacks MakeReaderCallbacks();
  void ApplyVmList(std::span<const vm_record> list, std::uint64_t revision);
  void RecordSourceChange(const source_state_change& change);

  void TickEverySecond(time_point now);
  void TickJoining(time_point now);
  void BeginServing(std::uint64_t revision);
  void UpdateReaderRole(time_point now);
  void UpdateReaderRank(time_point now);
  void ChoosePeers();
  void SendMembershipDelta(std::size_t maximum);
  void PublishIfChanged();
  void ApplyEvacuations(const configuration& in_force);
  std::optional<own_backend_server> OwnBackendServer(
      const configuration& held) const;

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
  snapshot_publisher publish_;
  std::int64_t started_unix_ms_;
  random_source random_;
  event_log events_;
  class membership membership_;
  evacuation_table evacuations_;
  class spreader spreader_;
  join_gate join_gate_;
  read_budget read_budget_;
  folder_reader folder_reader_;
  vm_list_reader vm_list_reader_;
  peer_links links_;
  crash_report_relay crash_reports_{links_};
  link_hub* hub_ = nullptr;
  pause_detector pause_detector_;

  node_phase phase_ = node_phase::kJoining;
  bool is_superseded_ = false;
  bool is_snapshot_due_ = false;
  bool is_peer_choice_due_ = true;
  double reader_jitter_;
  std::size_t reader_rank_ = 0;
  /// Hash of the membership that `reader_rank_` was computed from.
  std::optional<std::uint64_t> ranked_hash_;
  std::size_t ranked_size_ = 0;
  time_point next_second_tick_;
  std::optional<version_provenance> provenance_;
  std::deque<refused_effect> refusals_;
  convergence_counts convergence_;
  std::map<std::string, time_point, std::less<>> membership_requested_at_;
  std::map<std::string, bool, std::less<>> wanted_peers_;
};

}  // namespace wagtailmount
