// The member functions of catalog_control that choose peers and exchange
// catalog messages with them.

#include <algorithm>
#include <set>
#include <utility>

#include "LibBase/digest.h"
#include "LibNode/catalog_control.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;

/// Heartbeat period on links from a reader to its failure domain, beside the
/// messages that it sends after each answer of the platform.
constexpr milliseconds kStatePeriod{600};
/// Heartbeat period on all other links, which nobody relies on for freshness:
/// those to other failure domains and those of nodes that are not readers.
constexpr milliseconds kSlowStatePeriod{900};
/// How long this node waits for changes that a peer already has to arrive
/// unasked before it requests them: catalog_feed::settings::watch_pause and a
/// margin.
constexpr milliseconds kPeerUpdateWait{350};
/// Larger updates are not sent to peers, which read them from the platform
/// instead: sending one to each node of a failure domain would delay requests
/// on a slow link. The limit fits about a thousand new routes as a compressed
/// delta, and 20 such updates pass a link of 5 Mbit/s within about 2 s.
constexpr std::size_t kMaximumUpdateBytes = std::size_t{64} * 1024;
/// The shortest time between two requests of this node for a whole catalog and,
/// on a slow link, between two answers with one. A compressed configuration of
/// 1,650 routes occupies a link of 5 Mbit/s for less than this.
constexpr milliseconds kWholeCatalogInterval{250};

}  // namespace

// In each failure domain the first VM by reader_ranking reads the platform, and
// the second is its stand-by. Both have links to all nodes of their failure
// domain, and the readers have links to each other. A node that restarts while
// the platform is unavailable knows no peers and can't open links, so the
// reader and the stand-by open links to it.
void catalog_control::ChoosePeers() {
  std::map<std::string, std::string> reader_of;  // By failure domain.
  std::vector<std::string> own_domain;
  const auto is_before = [](const std::string& left, const std::string& right) {
    return HashOf(left) < HashOf(right);
  };
  for (const node_location& each : directory_.ActiveNodes()) {
    std::string& best = reader_of[each.failure_domain];
    if (best.empty() || is_before(each.vm, best)) {
      best = each.vm;
    }
    if (each.failure_domain == settings_.failure_domain) {
      own_domain.push_back(each.vm);
    }
  }
  ranking_.KeepOnly(own_domain);
  ranking_.Sort(own_domain);
  const bool is_reader =
      !own_domain.empty() && own_domain.front() == settings_.vm;
  if (is_reader != feed_.IsReader()) {
    feed_.SetReader(is_reader);
    log_.Add(log_line{"reader-role"}.Flag("is_reader", is_reader));
  }
  std::set<std::string> wanted;
  constexpr std::size_t kLinksInDomain = 2;
  for (const std::string& vm : own_domain) {
    if (wanted.size() < kLinksInDomain) {
      wanted.insert(vm);
    }
  }
  if (links_to_whole_domain_ && wanted.contains(settings_.vm)) {
    wanted.insert(own_domain.begin(), own_domain.end());
  }
  const bool is_alone = own_domain.size() <= 1;
  if (is_reader || is_alone) {
    for (const auto& [domain, vm] : reader_of) {
      wanted.insert(vm);
    }
  }
  wanted.erase(settings_.vm);
  std::vector<wanted_peer> peers;
  peers.reserve(wanted.size());
  for (const std::string& vm : wanted) {
    peers.push_back({vm, {vm, settings_.advertised_peer.port}});
  }
  links_.SetWanted(peers);
}

milliseconds catalog_control::SourceAgeToSend() const {
  const auto age = feed_.Age(clock_.Now());
  return age ? std::min(*age, kUnknownSourceAge) : kUnknownSourceAge;
}

// Changes are sent at once to peers in the same failure domain. Peers elsewhere
// get only the new revision: they read the platform themselves, and traffic
// between failure domains is expensive. The state is also sent periodically, as
// the heartbeat of the link.
void catalog_control::SendToPeers(time_point now) {
  const catalog_position position = catalog_.Position();
  const bool is_state_due = now >= next_state_at_;
  const bool is_slow_due = now >= next_slow_state_at_;
  const bool is_news = position != announced_position_;
  if (!is_news && !is_state_due) {
    return;
  }
  announced_position_ = position;
  if (is_state_due) {
    next_state_at_ = now + kStatePeriod;
  }
  if (is_slow_due) {
    next_slow_state_at_ = now + kSlowStatePeriod;
  }
  for (const std::string& peer : links_.Peers()) {
    peer_progress& progress = peers_[peer];
    if (progress.is_in_own_domain && progress.position.revision > 0 &&
        progress.position < position) {
      catalog_update update = UpdateFor(progress.position);
      if (!update.items.empty() &&
          update.ContentBytes() <= kMaximumUpdateBytes &&
          links_.Send(peer, catalog_update_message{std::move(update),
                                                   SourceAgeToSend()})) {
        progress.position = position;
        continue;
      }
    }
    const bool is_relied_on = progress.is_in_own_domain && feed_.IsReader();
    const bool is_due = is_relied_on ? is_state_due : is_slow_due;
    if (is_due || progress.position < position) {
      SendState(peer, progress.is_in_own_domain);
    }
  }
}

// Whether a peer holds the same state that doesn't come from a listing alone.
// While the platform is unavailable, nobody knows a newer one.
bool catalog_control::HasConfirmingPeer() const {
  return std::any_of(peers_.begin(), peers_.end(), [this](const auto& peer) {
    return peer.second.has_been_fresh &&
           peer.second.position == catalog_.Position();
  });
}

// The changes that a node at `known` lacks; everything if it is in another era.
catalog_update catalog_control::UpdateFor(catalog_position known) const {
  const bool is_same_era = known.era == catalog_.Position().era;
  return catalog_.UpdateAfter(is_same_era ? known.revision : 0);
}

void catalog_control::RequestChanges(const std::string& peer_vm) {
  const catalog_position position = catalog_.Position();
  links_.Send(peer_vm,
              catalog_request_message{position.revision, position.era});
}

void catalog_control::SendState(const std::string& peer_vm,
                                bool is_in_own_domain) {
  const catalog_position position = catalog_.Position();
  catalog_state_message state{
      position.revision, SourceAgeToSend(), {}, position.era};
  if (is_in_own_domain) {
    state.fast_vms = ranking_.FastVms(catalog_state_message::kMostFastVms);
  }
  links_.Send(peer_vm, state);
}

// Changes that a peer already has mostly arrive from the failure domain's
// reader a moment later, so they are requested only after kPeerUpdateWait.
void catalog_control::RequestMissingChanges(time_point now) {
  for (auto& [peer, progress] : peers_) {
    if (progress.position <= catalog_.Position()) {
      progress.ahead_since = time_point{};
      continue;
    }
    if (progress.ahead_since == time_point{}) {
      progress.ahead_since = now;
    }
    if (now - progress.ahead_since < kPeerUpdateWait) {
      continue;
    }
    // Peers in the same failure domain send updates of up to
    // kMaximumUpdateBytes unasked, so this one is larger and is read from the
    // platform. It is requested from the peer only while the platform is
    // unavailable.
    progress.ahead_since = now;
    if (progress.is_in_own_domain && !feed_.IsFailing()) {
      feed_.RequestOwnRead();
    } else {
      RequestChanges(peer);
    }
    return;
  }
}

hello_message catalog_control::MakeHello(std::string_view) {
  hello_message hello;
  hello.sender = MakeOwnRecord(settings_, started_unix_ms_, vm_state::kServing);
  return hello;
}

void catalog_control::OnPeerUp(const std::string& peer_vm,
                               const hello_message& hello) {
  log_.Add(log_line{"peer-up"}.Text("peer", peer_vm));
  const bool is_in_own_domain =
      hello.sender.failure_domain == settings_.failure_domain;
  peers_[peer_vm] = {.position = {},
                     .is_in_own_domain = is_in_own_domain,
                     .has_been_fresh = false,
                     .ahead_since = {}};
  SendState(peer_vm, is_in_own_domain);
  crash_reports_.OnPeerUp(peer_vm);
}

void catalog_control::OnPeerDown(const std::string& peer_vm,
                                 std::string_view reason) {
  log_.Add(log_line{"peer-down"}.Text("peer", peer_vm).Text("reason", reason));
  peers_.erase(peer_vm);
  is_peer_choice_due_ = true;
}

void catalog_control::OnPeerMessage(const std::string& peer_vm,
                                    const message& content) {
  if (const auto* state = std::get_if<catalog_state_message>(&content)) {
    Handle(peer_vm, *state);
  } else if (const auto* request =
                 std::get_if<catalog_request_message>(&content)) {
    Handle(peer_vm, *request);
  } else if (const auto* sent = std::get_if<catalog_update_message>(&content)) {
    Handle(peer_vm, *sent);
  } else if (const auto* reports =
                 std::get_if<crash_reports_message>(&content)) {
    crash_reports_.Handle(peer_vm, *reports);
  }
}

void catalog_control::Handle(const std::string& peer_vm,
                             const catalog_state_message& state) {
  peer_progress& progress = peers_[peer_vm];
  progress.position = {state.era, state.complete_to};
  progress.has_been_fresh |= state.source_age < kUnknownSourceAge;
  if (progress.is_in_own_domain &&
      ranking_.RecordFastVms(peer_vm, state.fast_vms)) {
    is_peer_choice_due_ = true;
  }
  if (progress.position == catalog_.Position()) {
    feed_.RecordPeerState(clock_.Now(), state.source_age);
  } else if (catalog_.CompleteTo() == 0) {
    RequestWholeCatalog(peer_vm);
  } else {
    RequestMissingChanges(clock_.Now());
  }
}

// Used while this node has no catalog, just after its start.
void catalog_control::RequestWholeCatalog(const std::string& peer_vm) {
  const time_point now = clock_.Now();
  if (now >= next_whole_request_at_) {
    next_whole_request_at_ = now + kWholeCatalogInterval;
    links_.Send(peer_vm, catalog_request_message{});
  }
}

void catalog_control::Handle(const std::string& peer_vm,
                             const catalog_request_message& request) {
  const catalog_position known{request.era, request.after};
  if (catalog_.Position() <= known) {
    return;
  }
  const bool asks_for_all =
      known.revision == 0 || known.era != catalog_.Position().era;
  if (asks_for_all) {
    const time_point now = clock_.Now();
    if (now < next_whole_answer_at_ && !ranking_.IsOwnLinkFast()) {
      return;  // The peer retries, here or at another node.
    }
    next_whole_answer_at_ = now + kWholeCatalogInterval;
  }
  if (links_.Send(peer_vm, catalog_update_message{UpdateFor(known),
                                                  SourceAgeToSend()})) {
    peers_[peer_vm].position = catalog_.Position();
  }
}

void catalog_control::Handle(const std::string& peer_vm,
                             const catalog_update_message& sent) {
  peer_progress& progress = peers_[peer_vm];
  const catalog_position sent_position = sent.update.Position();
  progress.position = std::max(progress.position, sent_position);
  progress.has_been_fresh |= sent.source_age < kUnknownSourceAge;
  const catalog_position before = catalog_.Position();
  const bool has_gap =
      sent.update.after > 0 &&
      before < catalog_position{sent.update.era, sent.update.after};
  if (has_gap) {
    RequestChanges(peer_vm);
    return;
  }
  const auto changed = catalog_.ApplyUpdate(sent.update);
  RecordPosition(before);
  if (catalog_.Position() < sent_position) {
    feed_.RequestOwnRead();
  }
  if (catalog_.Position() == sent_position) {
    feed_.RecordPeerState(clock_.Now(), sent.source_age);
  }
  ApplyChanges(changed);
}

}  // namespace wagtailmount
