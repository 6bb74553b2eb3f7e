#include <algorithm>
#include <utility>

#include "LibConfig/config_limits.h"
#include "LibSpread/manifest_delta.h"
#include "LibSpread/spreader.h"

namespace wagtailmount {

namespace {

/// The number of files in a manifest that a node without a version assumes when
/// it computes how long to wait for the manifest.
constexpr std::size_t kAssumedManifestFiles = 5'000;
/// Estimated size of a manifest entry in a message, with its name.
constexpr std::uint64_t kEstimatedManifestEntryBytes = 80;

/// The most recently changed names that a pull message lists.
constexpr std::size_t kMaxRecentNames = 16;

}  // namespace

bool spreader::IsWanted(time_point now, const peer_state& peer) const {
  return peer.held > HeldVersion() && peer.held != peer.invalid_version &&
         now >= peer.backoff_until && !refusals_.IsRefusedLocally(peer.held);
}

// A running pull is finished first, even when a greater version is offered
// meanwhile: under a continuous stream of edits, restarting for each new one
// would never complete any.
void spreader::StartPull(time_point now, spread_effects& effects) {
  if (pull_) {
    return;
  }
  version_id greatest;
  std::vector<std::string> holders;
  for (const auto& [vm, peer] : peers_) {
    if (!IsWanted(now, peer) || peer.held < greatest) {
      continue;
    }
    if (peer.held > greatest) {
      greatest = peer.held;
      holders.clear();
    }
    holders.push_back(vm);
  }
  if (holders.empty()) {
    return;
  }
  ++counters_.pulls_started;
  pull_ = pull_state{.wanted = greatest,
                     .manifest_peer = {},
                     .manifest_deadline = {},
                     .has_requested_whole = false,
                     .bodies = {},
                     .files = {}};
  const auto& holder = holders[random_.Below(holders.size())];
  RequestManifest(now, holder, held_ == nullptr, effects);
}

void spreader::RequestManifest(time_point now, const std::string& vm,
                               bool is_whole, spread_effects& effects) {
  pull_->manifest_peer = vm;
  pull_->manifest_deadline = now + settings_.pull_timeout;
  pull_->has_requested_whole = is_whole;
  pull_message pull{pull_->wanted, {}, {}};
  if (is_whole) {
    pull_->manifest_deadline += TimeForWholeManifest();
  } else {
    pull.held = HeldVersion();
    pull.recently_changed = history_.RecentNames(kMaxRecentNames);
  }
  AddSend(effects, vm, std::move(pull));
}

duration spreader::TimeForWholeManifest() const {
  const std::uint64_t files =
      held_ == nullptr ? kAssumedManifestFiles : held_->Manifest().size();
  return std::chrono::milliseconds(files * kEstimatedManifestEntryBytes * 1000 /
                                   settings_.slowest_bytes_per_second);
}

// A peer that no longer holds the wanted version answers a pull with an offer
// of its newer one instead of the manifest (see ServeManifest()).
void spreader::AbandonIfOutdated(std::string_view vm,
                                 const version_id& offered) {
  if (pull_ && !pull_->bodies && pull_->manifest_peer == vm &&
      offered > pull_->wanted) {
    AbandonPull();
  }
}

void spreader::HandleManifest(time_point now, std::string_view vm,
                              const manifest_message& received,
                              spread_effects& effects) {
  if (!pull_ || pull_->bodies || pull_->manifest_peer != vm ||
      received.version != pull_->wanted) {
    ++counters_.unsolicited_messages;
    return;
  }
  const bool is_delta = received.base.revision != 0;
  const bool is_base_held = is_delta && received.base == HeldVersion();
  std::span<const manifest_entry> base;
  if (is_base_held) {
    base = held_->Manifest();
  }
  auto manifest = ApplyManifest(base, received);
  const bool is_valid = is_delta == is_base_held && manifest &&
                        DigestOfManifest(*manifest) == pull_->wanted.content;
  if (!is_valid && !pull_->has_requested_whole) {
    ++counters_.delta_mismatches;
    RequestManifest(now, std::string(vm), true, effects);
    return;
  }
  if (!is_valid) {
    ++counters_.manifest_mismatches;
    MarkInvalid(vm, pull_->wanted);
    AbandonPull();
    StartPull(now, effects);
    return;
  }
  ResetBackoff(vm);
  auto plan = PlanVersion(*manifest, held_.get(), reusable_contents_);
  pull_->files = std::move(plan.files);
  pull_->bodies.emplace(plan.missing, settings_);
  ContinuePull(now, effects);
}

void spreader::HandleFiles(time_point now, std::string_view vm,
                           const files_message& received,
                           spread_effects& effects) {
  if (!pull_ || !pull_->bodies) {
    ++counters_.unsolicited_messages;
    return;
  }
  bool is_manifest_invalid = false;
  for (const auto& body : received.bodies) {
    switch (pull_->bodies->Receive(now, vm, body)) {
      case body_download::receive_result::kAccepted:
        ResetBackoff(vm);
        ++counters_.bodies_received;
        counters_.body_bytes_received += body.content.size();
        break;
      case body_download::receive_result::kUnsolicited:
        ++counters_.unsolicited_messages;
        break;
      case body_download::receive_result::kWrongDigest:
        ++counters_.body_mismatches;
        MarkInvalid(vm, pull_->wanted);
        pull_->bodies->ExcludePeer(vm);
        break;
      case body_download::receive_result::kWrongSize:
        ++counters_.body_mismatches;
        is_manifest_invalid = true;
        break;
    }
  }
  if (is_manifest_invalid) {
    MarkInvalid(pull_->manifest_peer, pull_->wanted);
    AbandonPull();
    StartPull(now, effects);
    return;
  }
  pull_->bodies->NoteMissing(vm, received.missing);
  ContinuePull(now, effects);
}

void spreader::ContinuePull(time_point now, spread_effects& effects) {
  if (pull_->bodies->IsComplete()) {
    FinishPull(now, effects);
    return;
  }
  RequestFiles(now, effects);
  if (!pull_->bodies->IsWaiting()) {
    // No usable peer has the missing files: those that held this version have
    // replaced it by a newer one, which they will offer.
    ++counters_.pulls_failed;
    const auto holder = peers_.find(pull_->manifest_peer);
    if (holder != peers_.end() && holder->second.held <= pull_->wanted) {
      BackOff(now, holder->first);
    }
    AbandonPull();
    StartPull(now, effects);
  }
}

void spreader::RequestFiles(time_point now, spread_effects& effects) {
  for (const auto& vm : OrderedSources(now)) {
    if (pull_->bodies->OpenRequests() >= settings_.parallel_sources) {
      return;
    }
    auto wanted = pull_->bodies->Assign(now, vm);
    if (!wanted.empty()) {
      AddSend(effects, vm, files_request_message{wanted});
    }
  }
}

// The peer that sent the manifest comes first, then all other peers that hold
// any version, in random order, so that many nodes joining at once distribute
// their requests evenly. Any version will do, since most files are the same.
std::vector<std::string> spreader::OrderedSources(time_point now) {
  std::vector<std::string> sources;
  for (const auto& [vm, peer] : peers_) {
    if (peer.held.revision > 0 && vm != pull_->manifest_peer &&
        peer.invalid_version != pull_->wanted && now >= peer.backoff_until) {
      sources.push_back(vm);
    }
  }
  for (std::size_t i = sources.size(); i > 1; --i) {
    std::swap(sources[i - 1], sources[random_.Below(i)]);
  }
  const auto holder = peers_.find(pull_->manifest_peer);
  if (holder != peers_.end() &&
      holder->second.invalid_version != pull_->wanted) {
    sources.insert(sources.begin(), holder->first);
  }
  return sources;
}

void spreader::FinishPull(time_point now, spread_effects& effects) {
  const auto& contents = pull_->bodies->Contents();
  for (auto& file : pull_->files) {
    if (file.content == nullptr) {
      file.content = contents.at(file.content_digest);
    }
  }
  const version_id wanted = pull_->wanted;
  const std::string from_peer = pull_->manifest_peer;
  const auto files = std::move(pull_->files);
  pull_.reset();
  auto accepted = AcceptFolder(wanted.revision, files, held_.get());
  if (!accepted) {
    Refuse(accepted.error(), from_peer, effects);
    MarkInvalid(from_peer, wanted);
    StartPull(now, effects);
    return;
  }
  ++counters_.pulls_completed;
  const auto holder = peers_.find(from_peer);
  const std::uint32_t hops = holder == peers_.end() ? 0 : holder->second.hops;
  PutInForce(now, std::move(*accepted), from_peer, hops, effects);
}

// Contents received so far are kept for the next pull, which needs most of them
// again.
void spreader::AbandonPull() {
  if (pull_ && pull_->bodies) {
    if (reusable_contents_.size() > kMostFiles) {
      reusable_contents_.clear();
    }
    reusable_contents_.insert(pull_->bodies->Contents().begin(),
                              pull_->bodies->Contents().end());
  }
  pull_.reset();
}

void spreader::CheckDeadlines(time_point now, spread_effects& effects) {
  if (!pull_) {
    return;
  }
  if (!pull_->bodies) {
    if (now >= pull_->manifest_deadline) {
      ++counters_.timeouts;
      const std::string late = pull_->manifest_peer;
      AbandonPull();
      BackOff(now, late);
    }
    return;
  }
  const auto late = pull_->bodies->PeersPastDeadline(now);
  for (const auto& vm : late) {
    ++counters_.timeouts;
    pull_->bodies->ExcludePeer(vm);
    BackOff(now, vm);
  }
  if (!late.empty()) {
    ContinuePull(now, effects);
  }
}

void spreader::BackOff(time_point now, std::string_view vm) {
  const auto found = peers_.find(vm);
  if (found == peers_.end()) {
    return;
  }
  auto& peer = found->second;
  peer.backoff = std::clamp(2 * peer.backoff, settings_.initial_backoff,
                            settings_.max_backoff);
  peer.backoff_until = now + peer.backoff;
}

void spreader::ResetBackoff(std::string_view vm) {
  const auto found = peers_.find(vm);
  if (found != peers_.end()) {
    found->second.backoff = duration::zero();
  }
}

void spreader::MarkInvalid(std::string_view vm, const version_id& version) {
  const auto found = peers_.find(vm);
  if (found != peers_.end()) {
    found->second.invalid_version = version;
  }
}

}  // namespace wagtailmount
