#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/clock.h"
#include "LibBase/random.h"
#include "LibLink/link_hub.h"
#include "LibLink/message.h"

namespace wagtailmount {

/// A peer that this node wants a control link to. `vm` is empty for a seed,
/// whose VM name is known only from its hello.
struct wanted_peer {
  std::string vm;
  endpoint address;
};

/// Receives the events of control links. A peer is identified by the VM name in
/// its hello.
class peer_listener {
 public:
  virtual ~peer_listener() = default;

  /// Returns the hello to send to `peer_vm`, which is empty when the peer's VM
  /// is not known yet.
  virtual hello_message MakeHello(std::string_view peer_vm) = 0;
  virtual void OnPeerUp(const std::string& peer_vm,
                        const hello_message& hello) = 0;
  virtual void OnPeerDown(const std::string& peer_vm,
                          std::string_view reason) = 0;
  virtual void OnPeerMessage(const std::string& peer_vm,
                             const message& content) = 0;
};

struct peer_link_counters {
  std::uint64_t malformed_frames = 0;  ///< Could not be decoded.
  std::uint64_t refused_hellos =
      0;  ///< Another protocol version, this node's own name, a second hello or
          ///< a first message that is not a hello.
  std::uint64_t silent_links_closed = 0;
  std::uint64_t failed_opens = 0;  ///< Outgoing links that never opened.
};

/// Keeps the control links of a node: opens those that are wanted, identifies
/// the peer of each by its hello, keeps one link to each peer, and closes
/// silent and unwanted ones. Does no I/O itself; the hub opens links and sends
/// frames.
class peer_links final : public link_listener {
 public:
  struct settings {
    std::string vm;
    std::chrono::milliseconds silence_timeout{6'000};
    std::chrono::milliseconds hello_timeout{3'000};
    std::chrono::milliseconds minimum_backoff{200};
    std::chrono::milliseconds maximum_backoff{10'000};
    /// How long a link that this node opened is kept after it is no longer
    /// wanted, since the set of wanted peers changes back and forth while the
    /// fleet changes.
    std::chrono::milliseconds unwanted_grace{30'000};
    std::size_t maximum_links = 256;
  };

  /// `clock` and `listener` must outlive the object.
  peer_links(settings chosen, const runtime_clock& clock,
             peer_listener& listener, std::uint64_t seed);

  /// Sets the hub. Must be called once, before all other functions. It is no
  /// constructor argument because the hub takes this object as its listener.
  void SetLinkHub(link_hub& hub) { hub_ = &hub; }

  /// Replaces the set of wanted peers. A link that this node opened and no
  /// longer wants is closed after settings::unwanted_grace; the peer opens a
  /// new one if it still wants a link.
  void SetWanted(std::span<const wanted_peer> wanted);

  /// Opens missing links that are wanted, and closes silent and unwanted ones.
  void Tick();

  /// Sends `content` on the link to `peer_vm`. Returns false if there is no
  /// such link or the hub doesn't accept the frame.
  bool Send(std::string_view peer_vm, const message& content);

  /// Returns the VMs with an open link whose hello has arrived, in name order.
  std::vector<std::string> Peers() const;

  const peer_link_counters& Counters() const { return counters_; }

  void OnLinkOpened(link_id link, bool is_outgoing) override;
  void OnFrame(link_id link, std::string_view frame) override;
  void OnLinkClosed(link_id link, std::string_view reason) override;

 private:
  struct link_state {
    bool is_outgoing = false;
    bool is_open = false;
    endpoint dialed_address;  ///< Only set for outgoing links.
    std::string peer_vm;      ///< Empty until the peer's hello has arrived.
    std::uint64_t peer_incarnation = 0;
    time_point last_heard;
  };

  struct dial_state {
    std::string vm;
    bool is_wanted = true;
    time_point unwanted_since;
    link_id link = 0;  ///< 0 while no link is opening or open.
    std::chrono::milliseconds backoff{0};
    time_point next_attempt;
  };

  void Dial(const endpoint& address, dial_state& dial);
  void ScheduleNextAttempt(dial_state& dial);
  void HandleHello(link_id link, link_state& state, const hello_message& hello);
  bool IsAcceptable(const link_state& state, const hello_message& hello) const;
  bool IsDialedByLowerName(const link_state& state,
                           std::string_view peer_vm) const;
  bool ShouldKeepExisting(const link_state& existing, const link_state& later,
                          const vm_record& peer) const;
  void Drop(link_id link, std::string_view reason);
  void CloseSilentLinks();
  void CloseUnwantedLinks();

  settings settings_;
  const runtime_clock& clock_;
  peer_listener& listener_;
  random_source random_;
  link_hub* hub_ = nullptr;
  std::map<endpoint, dial_state> dials_;
  std::map<link_id, link_state> links_;
  std::map<std::string, link_id, std::less<>> link_of_peer_;
  peer_link_counters counters_;
};

}  // namespace wagtailmount
