#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "LibBase/clock.h"
#include "LibBase/error.h"
#include "LibBase/random.h"

namespace wagtailmount {

/// The call that a node should make to the platform now.
enum class feed_call : std::uint8_t {
  kNone,
  kListUpstreams,  ///< A listing of the upstreams only; may be seconds old.
  kListStale,      ///< A complete listing that may be seconds old.
  kList,           ///< A complete and current listing.
  kWatch,          ///< The changes after the revision that is held.
};

/// Decides when this node reads from the platform itself, and how old its copy
/// of the catalog may be. Each failure domain has a reader, which watches the
/// platform all the time. The other nodes, the followers, watch it only while
/// no peer sends them a recent state, so the load on the platform grows with
/// the number of failure domains, not of nodes.
///
/// The state counts as the platform's newest one only as of an answer of the
/// platform. A call in flight proves nothing: the platform may not have it, or
/// its answer may be lost.
///
/// When the platform has discarded its history of changes, followers wait for
/// their reader's listing: if all nodes listed at once, their links would be
/// saturated for a second and requests delayed.
class catalog_feed {
 public:
  struct settings {
    /// A watch is answered before the state held is older than this, with
    /// changes or without.
    std::chrono::milliseconds longest_watch{1'200};
    /// A follower reads from the platform itself once the newest state known
    /// from its peers is older than this: `longest_watch`, and a margin for the
    /// delays of the answer and of the peer's message.
    std::chrono::milliseconds stale_after{1'450};
    /// Pause between two watches, so that changes in quick succession cost one
    /// call. A tenth of the shortest limit for propagating a leaving upstream.
    std::chrono::milliseconds watch_pause{200};
    /// How long a follower that has just listed waits for a peer's state before
    /// it watches: a few round trips between failure domains and the handshake
    /// of a link.
    std::chrono::milliseconds peer_grace{600};
    /// A starting node first lists only the upstreams, which tells it its
    /// peers, and gets the configuration from one of them. Meant for slow
    /// links, where a peer's compressed copy arrives much sooner than the
    /// platform's listing.
    bool lists_upstreams_first = false;
    /// How long such a node waits for a peer before it lists everything: the
    /// time to open two links one after the other, and a margin.
    std::chrono::milliseconds start_grace{500};
    /// When the platform has discarded its history, a follower waits for its
    /// reader's listing for this long and up to half as long again, at random.
    /// A listing over a link of 5 Mbit/s takes 0.7 s.
    std::chrono::milliseconds listing_grace{800};
    /// While calls of this node fail and it has not held the newest state for
    /// longer than this, the platform counts as unavailable. Above the age that
    /// states have in normal operation: `stale_after` and the time for a read.
    std::chrono::milliseconds outage_after{1'850};
    std::chrono::milliseconds first_backoff{150};
    std::chrono::milliseconds longest_backoff{600};
    /// For followers: several times as long as a reader's changes need to reach
    /// every node.
    std::chrono::milliseconds longest_follower_backoff{2'000};
  };

  /// The shortest limit of the platform for propagating a change: a leaving
  /// upstream or a configuration.
  static constexpr std::chrono::milliseconds kPropagationLimit{2'000};
  /// What a read of changes takes: to connect, and an answer.
  static constexpr std::chrono::milliseconds kReadTime{300};

  catalog_feed(settings chosen, std::uint64_t seed)
      : settings_(chosen), random_(seed) {}

  void SetReader(bool is_reader) { is_reader_ = is_reader; }
  bool IsReader() const { return is_reader_; }

  /// The call to make now; kNone while one is in flight or none is due.
  /// `complete_to` is the revision up to which this node's catalog is complete.
  feed_call NextCall(time_point now, std::uint64_t complete_to);

  /// How long the platform may hold a watch that begins now. Short if the state
  /// held is old or was never confirmed: its confirmation is then overdue.
  std::chrono::milliseconds WatchWait(time_point now) const;

  /// Records that `call` has been sent.
  void Begin(time_point now, feed_call call);

  /// Records that the call in flight has ended; `failure` is empty if it
  /// succeeded. `transfer` is how long a watch's answer took to arrive, from
  /// its first bytes on: it tells the state of the time before.
  void End(time_point now, const std::optional<error_kind>& failure,
           bool has_changes, std::chrono::milliseconds transfer = {});

  /// Records that this node holds the state which a peer knows to have been the
  /// platform's newest one `age` ago.
  void RecordPeerState(time_point now, std::chrono::milliseconds age);

  /// Makes this node read from the platform once, because a peer has newer
  /// changes that it cannot send.
  void RequestOwnRead() { needs_own_read_ = true; }

  /// The time since this node last held the platform's newest state for
  /// certain, as of an answer to itself or to a peer; none if it never did.
  std::optional<std::chrono::milliseconds> Age(time_point now) const;

  bool IsInFlight() const { return in_flight_ != feed_call::kNone; }
  bool IsFailing() const { return consecutive_failures_ > 0; }

  /// Notes whether the platform is unavailable at `now`. A failed call alone
  /// does not show it: the platform may refuse one VM, or the VM may be slow,
  /// while peers hold the newest state.
  void UpdateOutage(time_point now);
  /// When the platform was last noted as unavailable.
  std::optional<time_point> LastOutageAt() const { return last_outage_at_; }

 private:
  bool HasRecentPeerState(time_point now) const;
  void ScheduleRetry(time_point now);
  std::chrono::milliseconds RandomUpTo(std::chrono::milliseconds limit);

  settings settings_;
  random_source random_;
  bool is_reader_ = false;
  bool needs_listing_ = true;
  bool may_list_stale_ = true;
  bool needs_own_read_ = false;
  bool has_listed_upstreams_ = false;
  bool has_conflicted_ = false;  ///< Since the last watch that was answered.
  feed_call in_flight_ = feed_call::kNone;
  time_point in_flight_since_{};
  time_point next_call_{};
  time_point listed_at_{};
  std::uint32_t consecutive_failures_ = 0;
  /// When this node last held the newest state, according to its own calls.
  std::optional<time_point> fresh_at_;
  /// The same according to its peers' messages.
  std::optional<time_point> peer_fresh_at_;
  std::optional<time_point> last_outage_at_;
};

}  // namespace wagtailmount
