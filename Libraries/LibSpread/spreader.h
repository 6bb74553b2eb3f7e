#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/clock.h"
#include "LibBase/random.h"
#include "LibConfig/configuration.h"
#include "LibLink/message.h"
#include "LibMembership/pause_detector.h"
#include "LibSpread/body_download.h"
#include "LibSpread/last_held_table.h"
#include "LibSpread/manifest_history.h"
#include "LibSpread/refusal_log.h"
#include "LibSpread/request_queue.h"
#include "LibSpread/spread_effect.h"
#include "LibSpread/spread_settings.h"

namespace wagtailmount {

/// Distributes accepted configuration versions from node to node until every
/// node has them. A node offers the version it holds to its peers. A peer that
/// holds an older one pulls a delta of the manifest and the files it lacks,
/// validates the whole folder itself and offers the version to its own peers.
///
/// Invariants, whatever peers send:
///  - only a greater version replaces the held one;
///  - a version comes into force only after this node accepted every file;
///  - a version that this node refused is never pulled again.
///
/// Data from peers is verified; a misbehaving peer can only cost time. Periodic
/// compare messages make up for lost messages. A peer that answers late or
/// wrongly is not asked for a while, and other peers are asked instead.
///
/// Performs no I/O and reads no clock. Not thread-safe. Call Tick() several
/// times a second. The caller carries out the returned effects in order.
class spreader {
 public:
  spreader(const spread_settings& settings, std::uint64_t seed, time_point now);

  /// A link to a peer is open and both sides have sent their hello. For a known
  /// peer, the new link replaces the previous one.
  spread_effects PeerUp(time_point now, std::string_view peer_vm,
                        const hello_message& hello);
  spread_effects PeerDown(time_point now, std::string_view peer_vm);

  /// Handles a message from a peer: any kind except hello and the membership
  /// messages.
  spread_effects Handle(time_point now, std::string_view peer_vm,
                        const message& content);

  /// Processes a complete snapshot that this node read from the platform.
  spread_effects AcceptFromSource(time_point now, std::uint64_t revision,
                                  std::vector<config_file> files);

  /// This node saw that the platform is at `revision`.
  spread_effects SourceConfirmed(time_point now, std::uint64_t revision);

  /// Runs what is due: request timeouts, new pulls, waiting requests of peers
  /// and compare messages.
  spread_effects Tick(time_point now);

  /// Sets the hash that compare messages carry.
  void SetMembershipHash(std::uint64_t hash) { membership_hash_ = hash; }

  /// The version in force, or null.
  std::shared_ptr<const configuration> Held() const { return held_; }
  version_id HeldVersion() const;

  /// The highest revision reported by the platform or any peer, accepted or
  /// not.
  std::uint64_t NewestSeen() const { return newest_seen_; }

  /// The time since any node, as far as this one knows, last saw the platform
  /// at the newest version; nothing when none is known to have. It errs on the
  /// old side by up to kTransitAllowance per link.
  std::optional<std::chrono::milliseconds> NewestSourceAge(
      time_point now) const;

  /// The greatest version that this node saw the VM hold.
  version_id LastHeldBy(std::string_view vm) const;

  hello_message OurHello(const vm_record& self, std::string_view peer_vm) const;

  /// Whether this node is downloading a version.
  bool IsPulling() const { return pull_.has_value(); }

  const spread_counters& Counters() const { return counters_; }

  /// Added to every source age that a peer reports, to cover the transit time
  /// of the message. Without it, an age that travels around a loop of peers
  /// would become younger by the transit time on each link.
  static constexpr std::chrono::milliseconds kTransitAllowance{100};

 private:
  struct peer_state {
    version_id held;         ///< The greatest version reported on this link.
    std::uint32_t hops = 0;  ///< Of `held`; 0 if learnt without an offer.
    version_id offered;      ///< The version last offered to this peer.
    time_point offered_at;
    time_point next_compare;
    version_id invalid_version;  ///< The one it gave invalid data for.
    duration backoff = duration::zero();
    time_point backoff_until;
  };

  /// The version being downloaded; one at a time.
  struct pull_state {
    version_id wanted;
    std::string manifest_peer;
    time_point manifest_deadline;
    bool has_requested_whole = false;
    /// Set once the manifest has been received and verified.
    std::optional<body_download> bodies;
    std::vector<config_file> files;
  };

  using peer_map = std::map<std::string, peer_state, std::less<>>;

  void DetectPause(time_point now, spread_effects& effects);
  void NoteHeld(std::string_view vm, peer_state& peer, const version_id& held,
                std::uint32_t hops);
  void AbandonIfOutdated(std::string_view vm, const version_id& offered);
  void NoteSourceAge(time_point now, std::chrono::milliseconds age);
  std::chrono::milliseconds SourceAgeToSend(time_point now) const;
  bool MayOffer(time_point now) const { return now >= offers_allowed_from_; }

  void HandleOffer(time_point now, std::string_view vm, peer_state& peer,
                   const offer_message& offer, spread_effects& effects);
  void HandleCompare(time_point now, std::string_view vm, peer_state& peer,
                     const compare_message& compare, spread_effects& effects);
  void HandleRefusal(std::string_view vm, const refusal& refused,
                     spread_effects& effects);
  void HandleRequest(time_point now, content_request request,
                     spread_effects& effects);

  void SendOffer(time_point now, const std::string& vm, peer_state& peer,
                 spread_effects& effects);
  void OfferToAll(time_point now, spread_effects& effects);
  void SendCompare(time_point now, const std::string& vm, peer_state& peer,
                   spread_effects& effects);
  void SendToAllExcept(std::string_view except, const message& content,
                       spread_effects& effects) const;
  void PutInForce(time_point now, std::shared_ptr<const configuration> version,
                  std::string_view from_peer, std::uint32_t hops,
                  spread_effects& effects);
  void Refuse(const refusal& refused, std::string_view from_peer,
              spread_effects& effects);
  void NoteConflict(const version_id& other, std::string_view from_peer,
                    spread_effects& effects);

  // Pulling: spreader_pull.cc.
  bool IsWanted(time_point now, const peer_state& peer) const;
  void StartPull(time_point now, spread_effects& effects);
  void RequestManifest(time_point now, const std::string& vm, bool is_whole,
                       spread_effects& effects);
  duration TimeForWholeManifest() const;
  void HandleManifest(time_point now, std::string_view vm,
                      const manifest_message& received,
                      spread_effects& effects);
  void HandleFiles(time_point now, std::string_view vm,
                   const files_message& received, spread_effects& effects);
  void RequestFiles(time_point now, spread_effects& effects);
  void ContinuePull(time_point now, spread_effects& effects);
  void FinishPull(time_point now, spread_effects& effects);
  void AbandonPull();
  void CheckDeadlines(time_point now, spread_effects& effects);
  void BackOff(time_point now, std::string_view vm);
  void ResetBackoff(std::string_view vm);
  void MarkInvalid(std::string_view vm, const version_id& version);
  std::vector<std::string> OrderedSources(time_point now);

  // Serving: spreader_serve.cc.
  void ServeRequests(time_point now, spread_effects& effects);
  std::uint64_t ServeManifest(time_point now, const std::string& vm,
                              const pull_message& pull,
                              spread_effects& effects);
  std::uint64_t ServeFiles(const std::string& vm,
                           const files_request_message& request,
                           spread_effects& effects);

  spread_settings settings_;
  random_source random_;
  pause_detector pause_detector_;
  time_point offers_allowed_from_;
  peer_map peers_;
  std::shared_ptr<const configuration> held_;
  std::uint32_t held_hops_ = 0;
  std::uint64_t newest_seen_ = 0;
  std::optional<time_point> source_confirmed_at_;
  std::uint64_t membership_hash_ = 0;
  last_held_table last_held_;
  manifest_history history_;
  refusal_log refusals_;
  version_id last_conflict_;
  std::optional<pull_state> pull_;
  content_pool reusable_contents_;  ///< Verified contents from abandoned pulls.
  request_queue requests_;
  spread_counters counters_;
};

}  // namespace wagtailmount
