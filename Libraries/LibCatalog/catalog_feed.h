#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "LibBase/clock.h"
#include "LibBase/error.h"
#include "LibBase/random.h"

namespace wagtailmount {

/// What a node should ask the platform for now.
enum class feed_call : std::uint8_t {
  kNone,
  kListUpstreams,  ///< The upstreams only, as kListStale.
  kListStale,      ///< A whole listing that may be seconds old.
  kList,           ///< A whole listing.
  kWatch,          ///< The changes after what is held.
};

/// Decides when this node reads the platform itself, and how sure it may be
/// that it holds the newest state. Readers watch all the time; the others only
/// while no peer brings them fresh news, so that the platform's calls grow with
/// the failure domains and not with the nodes.
///
/// Answers the load pattern of a platform that forgets its history: if all
/// nodes list at once, their links are full for a second and requests late.
class catalog_feed {
 public:
  struct settings {
    /// Peers' news older than this make a node read by itself. Source: half of
    /// the least bound on leaving upstreams, which is 2 s.
    std::chrono::milliseconds stale_after{1'000};
    /// Pause between two watches, so that changes in quick succession cost one
    /// call. Source: a tenth of the least bound on leaving upstreams.
    std::chrono::milliseconds watch_pause{200};
    /// How long a node that has just listed waits for its peers' news. Source:
    /// a few round trips between failure domains and a link's handshake.
    std::chrono::milliseconds peer_grace{600};
    /// A start lists just the upstreams, which names its peers, and takes the
    /// configuration from one of them: for slow links, where a peer's packed
    /// one arrives much sooner than the platform's.
    bool lists_upstreams_first = false;
    /// How long such a start waits for a peer before it lists everything.
    /// Source: two links opened one after the other, and a margin.
    std::chrono::milliseconds start_grace{500};
    /// How long a node that is no reader leaves the listing to its reader when
    /// the platform has forgotten its history: at least, and up to half as much
    /// again. Source: a listing over a link of 5 Mbit/s takes 0.7 s.
    std::chrono::milliseconds listing_grace{800};
    std::chrono::milliseconds first_backoff{150};
    std::chrono::milliseconds longest_backoff{600};
    /// Of nodes that are no readers. Source: the time in which a reader's news
    /// reach everybody, several times over.
    std::chrono::milliseconds longest_follower_backoff{2'000};
  };

  catalog_feed(settings chosen, std::uint64_t seed)
      : settings_(chosen), random_(seed) {}

  void SetReader(bool is_reader) { is_reader_ = is_reader; }
  bool IsReader() const { return is_reader_; }

  /// The call to make now, unless one is in flight. `complete_to` is what the
  /// node holds.
  feed_call NextCall(time_point now, std::uint64_t complete_to);

  /// The call has been made.
  void Begin(time_point now, feed_call call);

  /// The call in flight has ended; `failure` tells how when it failed.
  void End(time_point now, const std::optional<error_kind>& failure,
           bool has_changes);

  /// A peer holds all that it knew at the platform `age` ago.
  void HearOfPeer(time_point now, std::chrono::milliseconds age);

  /// A peer holds more and can't bring it: this node reads by itself.
  void NeedOwnRead() { needs_own_read_ = true; }

  /// How long ago this node surely held the platform's newest state; none when
  /// it never did.
  std::optional<std::chrono::milliseconds> Age(time_point now) const;

  bool IsInFlight() const { return in_flight_ != feed_call::kNone; }
  bool IsFailing() const { return failures_in_row_ > 0; }
  /// When a call of this node last failed.
  std::optional<time_point> FailedAt() const { return failed_at_; }

 private:
  bool IsFedByPeers(time_point now) const;
  void PutOff(time_point now);
  std::chrono::milliseconds UpTo(std::chrono::milliseconds most);

  settings settings_;
  random_source random_;
  bool is_reader_ = false;
  bool needs_listing_ = true;
  bool may_list_stale_ = true;
  bool needs_own_read_ = false;
  bool has_listed_upstreams_ = false;
  feed_call in_flight_ = feed_call::kNone;
  time_point in_flight_since_{};
  time_point next_call_{};
  time_point listed_at_{};
  std::uint32_t failures_in_row_ = 0;
  std::optional<time_point> fresh_at_;       ///< By own calls.
  std::optional<time_point> peer_fresh_at_;  ///< By peers' word.
  std::optional<time_point> failed_at_;
};

}  // namespace wagtailmount
