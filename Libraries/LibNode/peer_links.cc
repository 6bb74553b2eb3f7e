#include "LibNode/peer_links.h"

#include <algorithm>
#include <utility>

#include "LibLink/message_codec.h"

namespace wagtailmount {

peer_links::peer_links(settings chosen, const runtime_clock& clock,
                       peer_listener& listener, std::uint64_t seed)
    : settings_(std::move(chosen)),
      clock_(clock),
      listener_(listener),
      random_(seed) {}

void peer_links::SetWanted(std::span<const wanted_peer> wanted) {
  const time_point now = clock_.Now();
  for (auto& [address, dial] : dials_) {
    dial.unwanted_since = dial.is_wanted ? now : dial.unwanted_since;
    dial.is_wanted = false;
  }
  for (const auto& peer : wanted) {
    auto& dial = dials_[peer.address];
    dial.is_wanted = true;
    if (!peer.vm.empty()) {
      dial.vm = peer.vm;
    }
  }
  std::erase_if(dials_, [](const auto& entry) {
    return !entry.second.is_wanted && entry.second.link == 0;
  });
}

void peer_links::Tick() {
  CloseSilentLinks();
  CloseUnwantedLinks();
  const time_point now = clock_.Now();
  for (auto& [address, dial] : dials_) {
    const bool has_link =
        dial.link != 0 || (!dial.vm.empty() && link_of_peer_.contains(dial.vm));
    if (dial.is_wanted && !has_link && dial.next_attempt <= now &&
        dial.vm != settings_.vm && links_.size() < settings_.maximum_links) {
      Dial(address, dial);
    }
  }
}

void peer_links::Dial(const endpoint& address, dial_state& dial) {
  dial.link = hub_->Open(address);
  ScheduleNextAttempt(dial);
  links_[dial.link] = {.is_outgoing = true,
                       .is_open = false,
                       .dialed_address = address,
                       .peer_vm = {},
                       .last_heard = clock_.Now()};
}

void peer_links::ScheduleNextAttempt(dial_state& dial) {
  dial.backoff = std::clamp(2 * dial.backoff, settings_.minimum_backoff,
                            settings_.maximum_backoff);
  // Half of the backoff is random, so that many nodes that lost their links
  // together don't reconnect at the same moment.
  const auto half = dial.backoff / 2;
  const auto jitter = std::chrono::milliseconds(
      random_.Below(static_cast<std::uint64_t>(half.count()) + 1));
  dial.next_attempt = clock_.Now() + half + jitter;
}

bool peer_links::Send(std::string_view peer_vm, const message& content) {
  const auto found = link_of_peer_.find(peer_vm);
  return found != link_of_peer_.end() &&
         hub_->Send(found->second, EncodeMessage(content));
}

std::vector<std::string> peer_links::Peers() const {
  std::vector<std::string> peers;
  for (const auto& [vm, link] : link_of_peer_) {
    peers.push_back(vm);
  }
  return peers;
}

void peer_links::OnLinkOpened(link_id link, bool is_outgoing) {
  const bool is_known = links_.contains(link);
  if (is_outgoing != is_known || links_.size() > settings_.maximum_links) {
    // An outgoing link that was already dropped, or an incoming one beyond the
    // limit.
    Drop(link, "link already dropped or too many links");
    return;
  }
  auto& state = links_[link];
  state.is_open = true;
  state.last_heard = clock_.Now();
  if (!is_outgoing) {
    return;
  }
  const auto dial = dials_.find(state.dialed_address);
  const std::string peer_vm = dial == dials_.end() ? "" : dial->second.vm;
  hub_->Send(link, EncodeMessage(listener_.MakeHello(peer_vm)));
}

void peer_links::OnFrame(link_id link, std::string_view frame) {
  const auto found = links_.find(link);
  if (found == links_.end()) {
    return;
  }
  auto decoded = DecodeMessage(frame);
  if (!decoded) {
    ++counters_.malformed_frames;
    Drop(link, "malformed frame: " + decoded.error().message);
    return;
  }
  found->second.last_heard = clock_.Now();
  if (const auto* hello = std::get_if<hello_message>(&*decoded)) {
    HandleHello(link, found->second, *hello);
    return;
  }
  if (found->second.peer_vm.empty()) {
    ++counters_.refused_hellos;
    Drop(link, "the first message is not a hello");
    return;
  }
  // Copied because the listener may close this link, which frees its state.
  const std::string peer_vm = found->second.peer_vm;
  listener_.OnPeerMessage(peer_vm, *decoded);
}

bool peer_links::IsAcceptable(const link_state& state,
                              const hello_message& hello) const {
  return hello.protocol == hello_message::kProtocol &&
         !hello.sender.vm.empty() && hello.sender.vm != settings_.vm &&
         state.peer_vm.empty();
}

bool peer_links::IsDialedByLowerName(const link_state& state,
                                     std::string_view peer_vm) const {
  return state.is_outgoing == (settings_.vm < peer_vm);
}

// When two nodes dial each other at the same time, both keep the link that was
// dialed by the node with the lower name, so they agree without a message. The
// later link replaces the earlier one if the same node dialed both, since it
// has lost the earlier one, and if the peer has restarted, since its earlier
// link is dead even if that was not noticed.
bool peer_links::ShouldKeepExisting(const link_state& existing,
                                    const link_state& later,
                                    const vm_record& peer) const {
  return peer.incarnation <= existing.peer_incarnation &&
         IsDialedByLowerName(existing, peer.vm) &&
         !IsDialedByLowerName(later, peer.vm);
}

void peer_links::HandleHello(link_id link, link_state& state,
                             const hello_message& hello) {
  if (!IsAcceptable(state, hello)) {
    ++counters_.refused_hellos;
    Drop(link, "hello refused");
    return;
  }
  const std::string peer_vm = hello.sender.vm;
  const auto existing = link_of_peer_.find(peer_vm);
  const bool is_second = existing != link_of_peer_.end();
  if (is_second &&
      ShouldKeepExisting(links_[existing->second], state, hello.sender)) {
    Drop(link, "duplicate link to the same VM");
    return;
  }
  state.peer_vm = peer_vm;
  state.peer_incarnation = hello.sender.incarnation;
  const link_id replaced = is_second ? existing->second : 0;
  link_of_peer_[peer_vm] = link;
  if (state.is_outgoing) {
    auto& dial = dials_[state.dialed_address];
    dial.vm = peer_vm;
    dial.backoff = std::chrono::milliseconds{0};
  } else {
    hub_->Send(link, EncodeMessage(listener_.MakeHello(peer_vm)));
  }
  if (replaced != 0) {
    Drop(replaced, "replaced by a newer link");
  }
  listener_.OnPeerUp(peer_vm, hello);
}

void peer_links::Drop(link_id link, std::string_view reason) {
  hub_->Close(link);
  OnLinkClosed(link, reason);
}

void peer_links::OnLinkClosed(link_id link, std::string_view reason) {
  const auto found = links_.find(link);
  if (found == links_.end()) {
    return;
  }
  const link_state state = std::move(found->second);
  links_.erase(found);
  if (state.is_outgoing) {
    counters_.failed_opens += state.is_open ? 0 : 1;
    const auto dial = dials_.find(state.dialed_address);
    if (dial != dials_.end() && dial->second.link == link) {
      dial->second.link = 0;
    }
  }
  const auto current = link_of_peer_.find(state.peer_vm);
  if (!state.peer_vm.empty() && current != link_of_peer_.end() &&
      current->second == link) {
    link_of_peer_.erase(current);
    listener_.OnPeerDown(state.peer_vm, reason);
  }
}

void peer_links::CloseUnwantedLinks() {
  const time_point now = clock_.Now();
  std::vector<link_id> unwanted;
  for (const auto& [address, dial] : dials_) {
    const bool is_over = now - dial.unwanted_since > settings_.unwanted_grace;
    if (!dial.is_wanted && dial.link != 0 && is_over) {
      unwanted.push_back(dial.link);
    }
  }
  for (const link_id link : unwanted) {
    Drop(link, "no longer wanted");
  }
}

void peer_links::CloseSilentLinks() {
  const time_point now = clock_.Now();
  std::vector<link_id> silent;
  for (const auto& [link, state] : links_) {
    const auto limit = state.peer_vm.empty() ? settings_.hello_timeout
                                             : settings_.silence_timeout;
    if (now - state.last_heard > limit) {
      silent.push_back(link);
    }
  }
  for (const link_id link : silent) {
    ++counters_.silent_links_closed;
    Drop(link, "silent for too long");
  }
}

}  // namespace wagtailmount
