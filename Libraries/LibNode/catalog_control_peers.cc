// What a node's catalog control says to its peers, and takes from them.
#include <algorithm>
#include <set>
#include <utility>

#include "LibBase/digest.h"
#include "LibNode/catalog_control.h"

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;

/// The heartbeat of links. Source: three in a row are missed before a follower
/// reads by itself (catalog_feed::settings::stale_after).
constexpr milliseconds kStatePeriod{300};
/// The like of links on which nobody relies for freshness: to other failure
/// domains, and of nodes that are no readers.
constexpr milliseconds kSlowStatePeriod{900};
/// How long news that a peer has may still come by themselves. Source:
/// catalog_feed's pause between two watches, and a margin.
constexpr milliseconds kPeerPatience{350};
/// A larger update is left to be read from the platform: passing it on to each
/// node of a failure domain would hold up requests on a slow link. Source: some
/// thousand new routes as a compressed delta; to 20 nodes on a link of 5 Mbit/s
/// within two seconds.
constexpr std::size_t kLargestUpdate = std::size_t{64} * 1024;
/// A node asks no oftener for a whole catalog, and with a slow link gives one
/// no oftener. Source: a packed configuration of 1,650 routes keeps a link of 5
/// Mbit/s busy for less.
constexpr milliseconds kWholePause{250};

}  // namespace

// In each failure domain the first VM by reader_ranking reads the platform, and
// the next one stands by. Both have links to all nodes of their failure domain,
// and the readers have links to each other. A node that started again while the
// platform is away knows nobody: these two look for it.
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
  if (looks_for_others_ && wanted.contains(settings_.vm)) {
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

milliseconds catalog_control::AgeToTell() const {
  const auto age = feed_.Age(clock_.Now());
  return age ? std::min(*age, kUnknownSourceAge) : kUnknownSourceAge;
}

// Changes go out at once within the failure domain; others are told that there
// are some, for they read the platform themselves and bytes between failure
// domains are dear. The state goes out every while too, as heartbeat.
void catalog_control::SendToPeers(time_point now) {
  const std::uint64_t complete_to = catalog_.CompleteTo();
  const bool is_state_due = now >= next_state_;
  const bool is_slow_due = now >= next_slow_state_;
  const bool is_news = complete_to != told_complete_to_;
  if (!is_news && !is_state_due) {
    return;
  }
  told_complete_to_ = complete_to;
  if (is_state_due) {
    next_state_ = now + kStatePeriod;
  }
  if (is_slow_due) {
    next_slow_state_ = now + kSlowStatePeriod;
  }
  for (const std::string& peer : links_.Peers()) {
    peer_facts& known = peers_[peer];
    if (known.is_near && known.complete_to > 0 &&
        known.complete_to < complete_to) {
      catalog_update update = catalog_.UpdateAfter(known.complete_to);
      if (!update.items.empty() && update.ContentBytes() <= kLargestUpdate &&
          links_.Send(peer,
                      catalog_update_message{std::move(update), AgeToTell()})) {
        known.complete_to = complete_to;
        continue;
      }
    }
    const bool is_relied_on = known.is_near && feed_.IsReader();
    const bool is_due = is_relied_on ? is_state_due : is_slow_due;
    if (is_due || known.complete_to < complete_to) {
      SendState(peer, known.is_near);
    }
  }
}

void catalog_control::SendState(const std::string& peer_vm, bool is_near) {
  catalog_state_message state{catalog_.CompleteTo(), AgeToTell(), {}};
  if (is_near) {
    state.fast_vms = ranking_.FastVms(catalog_state_message::kMostFastVms);
  }
  links_.Send(peer_vm, state);
}

// Most of the time the own reader brings the same a moment later.
void catalog_control::RequestWhatIsLacking(time_point now) {
  for (auto& [peer, known] : peers_) {
    if (known.complete_to <= catalog_.CompleteTo()) {
      known.ahead_since = time_point{};
      continue;
    }
    if (known.ahead_since == time_point{}) {
      known.ahead_since = now;
    }
    if (now - known.ahead_since < kPeerPatience) {
      continue;
    }
    // Near ones bring what they can by themselves: this is too much for a link,
    // but if the platform is away there is no other way.
    known.ahead_since = now;
    if (known.is_near && !feed_.IsFailing()) {
      feed_.RequestOwnRead();
    } else {
      links_.Send(peer, catalog_request_message{catalog_.CompleteTo()});
    }
    return;
  }
}

hello_message catalog_control::MakeHello(std::string_view) {
  hello_message hello;
  hello.sender = OwnRecord(settings_, started_, vm_state::kServing);
  return hello;
}

void catalog_control::OnPeerUp(const std::string& peer_vm,
                               const hello_message& hello) {
  log_.Add(log_line{"peer-up"}.Text("peer", peer_vm));
  const bool is_near = hello.sender.failure_domain == settings_.failure_domain;
  peers_[peer_vm] = {.complete_to = 0, .is_near = is_near, .ahead_since = {}};
  SendState(peer_vm, is_near);
}

void catalog_control::OnPeerDown(const std::string& peer_vm,
                                 std::string_view reason) {
  log_.Add(log_line{"peer-down"}.Text("peer", peer_vm).Text("reason", reason));
  peers_.erase(peer_vm);
  are_peers_due_ = true;
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
  }
}

void catalog_control::Handle(const std::string& peer_vm,
                             const catalog_state_message& state) {
  peer_facts& known = peers_[peer_vm];
  known.complete_to = state.complete_to;
  if (known.is_near && ranking_.RecordFastVms(peer_vm, state.fast_vms)) {
    are_peers_due_ = true;
  }
  if (state.complete_to == catalog_.CompleteTo()) {
    feed_.RecordPeerState(clock_.Now(), state.source_age);
  } else if (catalog_.CompleteTo() == 0) {
    RequestWhole(peer_vm);
  } else {
    RequestWhatIsLacking(clock_.Now());
  }
}

// Of a node that has just started.
void catalog_control::RequestWhole(const std::string& peer_vm) {
  const time_point now = clock_.Now();
  if (now >= next_whole_request_) {
    next_whole_request_ = now + kWholePause;
    links_.Send(peer_vm, catalog_request_message{0});
  }
}

void catalog_control::Handle(const std::string& peer_vm,
                             const catalog_request_message& request) {
  if (catalog_.CompleteTo() <= request.after) {
    return;
  }
  if (request.after == 0) {
    const time_point now = clock_.Now();
    if (now < next_whole_answer_ && !ranking_.IsOwnLinkFast()) {
      return;  // It asks again, or another peer.
    }
    next_whole_answer_ = now + kWholePause;
  }
  if (links_.Send(peer_vm,
                  catalog_update_message{catalog_.UpdateAfter(request.after),
                                         AgeToTell()})) {
    peers_[peer_vm].complete_to = catalog_.CompleteTo();
  }
}

void catalog_control::Handle(const std::string& peer_vm,
                             const catalog_update_message& sent) {
  peer_facts& known = peers_[peer_vm];
  known.complete_to = std::max(known.complete_to, sent.update.complete_to);
  if (sent.update.after > catalog_.CompleteTo()) {
    links_.Send(peer_vm, catalog_request_message{catalog_.CompleteTo()});
    return;
  }
  const auto changed = catalog_.ApplyUpdate(sent.update);
  if (catalog_.CompleteTo() < sent.update.complete_to) {
    feed_.RequestOwnRead();
  }
  if (catalog_.CompleteTo() == sent.update.complete_to) {
    feed_.RecordPeerState(clock_.Now(), sent.source_age);
  }
  TakeChanges(changed);
}

}  // namespace wagtailmount
