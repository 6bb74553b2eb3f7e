#include "LibSpread/spreader.h"

#include <algorithm>
#include <utility>

#include "LibSpread/manifest_delta.h"

namespace wagtailmount {

spreader::spreader(const spread_settings& settings, std::uint64_t seed,
                   time_point now)
    : settings_(settings),
      random_(seed),
      pause_detector_(settings.pause_threshold),
      offers_allowed_from_(now),
      last_held_(settings.remembered_vms),
      history_(settings.history_names),
      refusals_(settings.remembered_refusals),
      requests_(settings.served_bytes_per_second, now) {}

version_id spreader::HeldVersion() const {
  return held_ == nullptr ? version_id{} : held_->Version();
}

std::optional<std::chrono::milliseconds> spreader::NewestSourceAge(
    time_point now) const {
  if (!source_confirmed_at_) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      now - *source_confirmed_at_);
}

version_id spreader::LastHeldBy(std::string_view vm) const {
  return last_held_.GreatestHeld(vm);
}

hello_message spreader::OurHello(const vm_record& self,
                                 std::string_view peer_vm) const {
  return {hello_message::kProtocol, self, HeldVersion(), newest_seen_,
          LastHeldBy(peer_vm)};
}

spread_effects spreader::PeerUp(time_point now, std::string_view peer_vm,
                                const hello_message& hello) {
  spread_effects effects;
  DetectPause(now, effects);
  if (pull_ && peers_.contains(peer_vm)) {
    // Requests sent on the old link will not be answered on the new one.
    auto dropped = PeerDown(now, peer_vm);
    effects.insert(effects.end(), std::make_move_iterator(dropped.begin()),
                   std::make_move_iterator(dropped.end()));
  }
  const auto [place, is_new] =
      peers_.insert_or_assign(std::string(peer_vm), peer_state{});
  auto& [vm, peer] = *place;
  const auto period = static_cast<std::uint64_t>(
      std::chrono::nanoseconds(settings_.compare_period).count());
  peer.next_compare = now + std::chrono::nanoseconds(random_.Below(period));
  newest_seen_ = std::max(newest_seen_, hello.newest_seen);
  NoteHeld(vm, peer, hello.held, 0);
  // Each side sent its hello before it had read the other's, so neither hello
  // served as an offer.
  SendOffer(now, vm, peer, effects);
  for (const auto& refused : refusals_.RefusalsAbove(HeldVersion())) {
    AddSend(effects, vm, refusal_message{refused});
  }
  StartPull(now, effects);
  return effects;
}

spread_effects spreader::PeerDown(time_point now, std::string_view peer_vm) {
  spread_effects effects;
  DetectPause(now, effects);
  const auto found = peers_.find(peer_vm);
  if (found == peers_.end()) {
    return effects;
  }
  peers_.erase(found);
  requests_.RemovePeer(peer_vm);
  if (pull_ && pull_->bodies) {
    pull_->bodies->ExcludePeer(peer_vm);
    ContinuePull(now, effects);
  } else if (pull_ && pull_->manifest_peer == peer_vm) {
    AbandonPull();
    StartPull(now, effects);
  }
  return effects;
}

spread_effects spreader::Handle(time_point now, std::string_view peer_vm,
                                const message& content) {
  spread_effects effects;
  DetectPause(now, effects);
  const auto found = peers_.find(peer_vm);
  if (found == peers_.end()) {
    ++counters_.messages_from_unknown_peers;
    return effects;
  }
  auto& [vm, peer] = *found;
  if (const auto* offer = std::get_if<offer_message>(&content)) {
    HandleOffer(now, vm, peer, *offer, effects);
  } else if (const auto* compare = std::get_if<compare_message>(&content)) {
    HandleCompare(now, vm, peer, *compare, effects);
  } else if (const auto* manifest = std::get_if<manifest_message>(&content)) {
    HandleManifest(now, vm, *manifest, effects);
  } else if (const auto* files = std::get_if<files_message>(&content)) {
    HandleFiles(now, vm, *files, effects);
  } else if (const auto* pull = std::get_if<pull_message>(&content)) {
    HandleRequest(now, {vm, *pull}, effects);
  } else if (const auto* wanted =
                 std::get_if<files_request_message>(&content)) {
    HandleRequest(now, {vm, *wanted}, effects);
  } else if (const auto* refused = std::get_if<refusal_message>(&content)) {
    HandleRefusal(vm, refused->refused, effects);
  } else {
    ++counters_.messages_of_unexpected_kind;
  }
  return effects;
}

spread_effects spreader::AcceptFromSource(time_point now,
                                          std::uint64_t revision,
                                          std::vector<config_file> files) {
  spread_effects effects;
  DetectPause(now, effects);
  const auto accepted = AcceptFolder(revision, files, held_.get());
  const version_id version =
      accepted ? (*accepted)->Version() : accepted.error().version;
  if (version.revision >= HeldVersion().revision) {
    source_confirmed_at_ = now;
  }
  newest_seen_ = std::max(newest_seen_, revision);
  NoteConflict(version, "", effects);
  if (version <= HeldVersion()) {
    counters_.source_outdated += version < HeldVersion() ? 1 : 0;
    return effects;
  }
  if (!accepted) {
    Refuse(accepted.error(), "", effects);
    return effects;
  }
  PutInForce(now, *accepted, "", 0, effects);
  return effects;
}

spread_effects spreader::SourceConfirmed(time_point now,
                                         std::uint64_t revision) {
  spread_effects effects;
  DetectPause(now, effects);
  if (revision < HeldVersion().revision) {
    // A platform that went back to an older revision does not confirm that the
    // held version is current.
    ++counters_.source_outdated;
    return effects;
  }
  source_confirmed_at_ = now;
  newest_seen_ = std::max(newest_seen_, revision);
  return effects;
}

spread_effects spreader::Tick(time_point now) {
  spread_effects effects;
  DetectPause(now, effects);
  CheckDeadlines(now, effects);
  StartPull(now, effects);
  ServeRequests(now, effects);
  for (auto& [vm, peer] : peers_) {
    if (now >= peer.next_compare) {
      SendCompare(now, vm, peer, effects);
    }
  }
  return effects;
}

// After a pause the state of this node is out of date: peers may have dropped
// the requests that it waits for, and a newer version may exist. So it abandons
// the pull, sends compare messages, and holds back offers until its peers have
// had time to answer.
void spreader::DetectPause(time_point now, spread_effects& effects) {
  if (!pause_detector_.Step(now)) {
    return;
  }
  ++counters_.pauses;
  AbandonPull();
  offers_allowed_from_ = now + settings_.offer_delay_after_pause;
  for (auto& [vm, peer] : peers_) {
    SendCompare(now, vm, peer, effects);
  }
}

void spreader::NoteHeld(std::string_view vm, peer_state& peer,
                        const version_id& held, std::uint32_t hops) {
  newest_seen_ = std::max(newest_seen_, held.revision);
  last_held_.Note(vm, held);
  if (held > peer.held) {
    peer.held = held;
    peer.hops = hops;
  }
}

// Ages are ignored shortly after a pause: messages that were queued during it
// carry ages that are too young by the time they waited.
void spreader::NoteSourceAge(time_point now, std::chrono::milliseconds age) {
  if (age >= kUnknownSourceAge || !MayOffer(now)) {
    return;
  }
  const time_point confirmed_at = now - age - kTransitAllowance;
  if (!source_confirmed_at_ || confirmed_at > *source_confirmed_at_) {
    source_confirmed_at_ = confirmed_at;
  }
}

std::chrono::milliseconds spreader::SourceAgeToSend(time_point now) const {
  return std::min(NewestSourceAge(now).value_or(kUnknownSourceAge),
                  kUnknownSourceAge);
}

void spreader::HandleOffer(time_point now, std::string_view vm,
                           peer_state& peer, const offer_message& offer,
                           spread_effects& effects) {
  ++counters_.offers_received;
  NoteHeld(vm, peer, offer.version, offer.hops);
  AbandonIfOutdated(vm, offer.version);
  NoteSourceAge(now, offer.source_age);
  NoteConflict(offer.version, vm, effects);
  if (offer.version <= HeldVersion()) {
    ++counters_.offers_outdated;
    return;
  }
  StartPull(now, effects);
}

void spreader::HandleCompare(time_point now, std::string_view vm,
                             peer_state& peer, const compare_message& compare,
                             spread_effects& effects) {
  ++counters_.compares_received;
  newest_seen_ = std::max(newest_seen_, compare.newest_seen);
  NoteHeld(vm, peer, compare.held, 0);
  AbandonIfOutdated(vm, compare.held);
  NoteSourceAge(now, compare.source_age);
  NoteConflict(compare.held, vm, effects);
  const bool is_offer_fresh = peer.offered == HeldVersion() &&
                              now - peer.offered_at < settings_.pull_timeout;
  if (compare.held < HeldVersion() && !is_offer_fresh) {
    SendOffer(now, std::string(vm), peer, effects);
  }
  StartPull(now, effects);
}

void spreader::HandleRefusal(std::string_view vm, const refusal& refused,
                             spread_effects& effects) {
  newest_seen_ = std::max(newest_seen_, refused.version.revision);
  if (refused.version <= HeldVersion() || !refusals_.Add(refused, false)) {
    return;
  }
  ++counters_.refusals_reported;
  effects.push_back(refused_effect{refused, std::string(vm), true});
  SendToAllExcept(vm, refusal_message{refused}, effects);
}

void spreader::SendOffer(time_point now, const std::string& vm,
                         peer_state& peer, spread_effects& effects) {
  if (!MayOffer(now) || HeldVersion() <= peer.held) {
    return;
  }
  peer.offered = HeldVersion();
  peer.offered_at = now;
  ++counters_.offers_sent;
  AddSend(effects, vm,
          offer_message{HeldVersion(), held_hops_ + 1, SourceAgeToSend(now)});
}

void spreader::OfferToAll(time_point now, spread_effects& effects) {
  for (auto& [vm, peer] : peers_) {
    SendOffer(now, vm, peer, effects);
  }
}

void spreader::SendCompare(time_point now, const std::string& vm,
                           peer_state& peer, spread_effects& effects) {
  peer.next_compare = now + settings_.compare_period;
  ++counters_.compares_sent;
  AddSend(effects, vm,
          compare_message{HeldVersion(), newest_seen_, membership_hash_,
                          SourceAgeToSend(now)});
}

void spreader::SendToAllExcept(std::string_view except, const message& content,
                               spread_effects& effects) const {
  for (const auto& [vm, peer] : peers_) {
    if (vm != except) {
      AddSend(effects, vm, content);
    }
  }
}

void spreader::PutInForce(time_point now,
                          std::shared_ptr<const configuration> version,
                          std::string_view from_peer, std::uint32_t hops,
                          spread_effects& effects) {
  if (held_ != nullptr) {
    history_.Record(held_->Version(),
                    ChangedNames(held_->Manifest(), version->Manifest()));
  }
  held_ = std::move(version);
  held_hops_ = hops;
  ++counters_.versions_in_force;
  reusable_contents_.clear();
  // A running pull was planned against the version held before.
  AbandonPull();
  effects.push_back(in_force_effect{held_, std::string(from_peer), hops,
                                    SourceAgeToSend(now)});
  OfferToAll(now, effects);
  StartPull(now, effects);
}

void spreader::Refuse(const refusal& refused, std::string_view from_peer,
                      spread_effects& effects) {
  const bool is_refused_locally = refusals_.IsRefusedLocally(refused.version);
  const bool is_new = refusals_.Add(refused, true);
  if (is_refused_locally) {
    return;
  }
  ++counters_.versions_refused;
  effects.push_back(refused_effect{refused, std::string(from_peer), false});
  if (is_new) {
    SendToAllExcept("", refusal_message{refused}, effects);
  }
}

void spreader::NoteConflict(const version_id& other, std::string_view from_peer,
                            spread_effects& effects) {
  const version_id held = HeldVersion();
  if (held.revision == 0 || other.revision != held.revision ||
      other.content == held.content || other == last_conflict_) {
    return;
  }
  last_conflict_ = other;
  ++counters_.conflicts;
  effects.push_back(conflict_effect{held, other, std::string(from_peer)});
}

}  // namespace wagtailmount
