#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/clock.h"
#include "LibBase/error.h"
#include "LibBase/random.h"
#include "LibConfig/configuration.h"
#include "LibSource/call_tracker.h"
#include "LibSource/folder_listing.h"
#include "LibSource/platform_client.h"
#include "LibSource/read_budget.h"
#include "LibSource/retry_backoff.h"

namespace wagtailmount {

/// Health of the platform's folder as observed by this reader.
enum class source_state : std::uint8_t {
  kUnknown,     ///< Not queried yet.
  kUp,          ///< Reachable, at the newest revision known.
  kDown,        ///< Unreachable, or it answers with errors.
  kOverLimit,   ///< Refuses calls because of its rate limit.
  kMalformed,   ///< Its answers violate the protocol.
  kStale,       ///< Its revision is below the one in force here.
  kRolledBack,  ///< Its revision is below one it answered before.
};

std::string_view NameOf(source_state state);

/// A transition to `state`, reported once, and the error that caused it.
/// `reason` is empty for kUp.
struct source_state_change {
  source_state state = source_state::kUnknown;
  error reason;
};

struct folder_reader_counters {
  std::uint64_t calls = 0;
  std::uint64_t snapshots = 0;
  std::uint64_t confirmations = 0;
  std::uint64_t torn_reads = 0;  ///< Reads restarted because the folder
                                 ///< changed meanwhile: pages of different
                                 ///< revisions, or a file not as listed.
  std::uint64_t failures = 0;
  std::uint64_t timeouts = 0;
  std::uint64_t lower_revisions = 0;
  std::uint64_t files_read = 0;
  std::uint64_t files_reused = 0;
};

/// Reads the platform's folder and delivers consistent snapshots: a listing at
/// one revision and files that all match its sizes and digests. An inconsistent
/// read is restarted. Between changes it watches the folder's revision.
///
/// All I/O is done by a platform_client, which may answer late, twice or never.
/// Not thread-safe: all calls must be made on one thread.
class folder_reader {
 public:
  struct settings {
    std::size_t fleet_size = 1;
    std::size_t parallel_reads = 8;
    duration call_timeout = std::chrono::seconds{5};
    /// More than the platform's longest wait of 30 s.
    duration watch_timeout = std::chrono::seconds{40};
    folder_limits limits;
  };

  /// Called from within Tick() and from the client's completion callbacks. They
  /// must not destroy the reader.
  struct callbacks {
    /// The platform's newest snapshot, complete, with files sorted by name. Its
    /// revision is above that of all earlier snapshots, or equal to the last
    /// one with different content if the platform was restored to an earlier
    /// state and then edited.
    std::function<void(std::uint64_t revision, std::vector<config_file> files)>
        on_snapshot;
    /// The platform confirmed that this revision is still its newest.
    std::function<void(std::uint64_t revision)> on_confirmed;
    /// The folder's state changed; also called on the change to kUp.
    std::function<void(const source_state_change& change)> on_state_change;
  };

  /// All references must outlive the reader. Answers that arrive after its
  /// destruction are ignored.
  folder_reader(platform_client& client, read_budget& budget,
                const runtime_clock& clock, random_source& random,
                const settings& chosen, callbacks handlers);
  folder_reader(const folder_reader&) = delete;
  folder_reader& operator=(const folder_reader&) = delete;

  /// Starts or stops reading. Stopping drops the calls in flight but keeps the
  /// file contents already held.
  void SetReading(bool should_read);
  bool IsReading() const { return is_reading_; }

  /// Handles timeouts and makes the calls that are due, as far as permits and
  /// retry delays allow. Call it several times a second.
  void Tick(time_point now);

  /// Sets the files that this node already holds, for example from peers; their
  /// contents are not read from the platform. Replaces the previous set.
  void SetHeldFiles(std::span<const config_file> files);

  /// Records a revision that is in force on this node; lower revisions answered
  /// by the platform are then stale. Do not pass a revision that a peer merely
  /// claims.
  void LearnRevision(std::uint64_t revision);

  void SetFleetSize(std::size_t fleet_size);

  source_state State() const { return state_; }
  const folder_reader_counters& Counters() const { return counters_; }
  /// Number of answers ignored because their call had been answered or dropped.
  std::uint64_t LateAnswers() const { return calls_.LateAnswers(); }

 private:
  enum class step : std::uint8_t { kIdle, kListing, kReadingFiles, kWatching };

  using contents_by_digest =
      std::unordered_map<digest, std::shared_ptr<const std::string>>;

  /// Makes calls and delivers results until nothing is due.
  void Advance();
  /// Makes one call if one is due, or delivers a complete snapshot. False if
  /// there is nothing to do for now.
  bool TakeStep();
  void SendList();
  void SendRead();
  void SendWatch();

  void OnPage(result<listing_page> page);
  void OnListingComplete();
  void OnFile(const manifest_entry& entry, result<std::string> content);
  void OnWatched(result<std::uint64_t> revision);

  void RestartListing();
  void DeliverSnapshot();
  void Confirm(std::uint64_t revision);
  /// Records the revision that the platform answered. True if it is lower than
  /// a revision known before; the reader then backs off and watches.
  bool RejectIfLowerRevision(std::uint64_t revision);
  /// Restarts the listing after an inconsistent read: the first times at once,
  /// then after a backoff.
  void RestartAfterTornRead(error reason);
  /// Restarts the listing after a backoff.
  void RestartAfterFailure(error reason);
  void ChangeState(source_state next, error reason);
  const std::shared_ptr<const std::string>* FindContent(
      const digest& content_digest) const;

  platform_client& client_;
  read_budget& budget_;
  const runtime_clock& clock_;
  random_source& random_;
  settings settings_;
  callbacks callbacks_;
  retry_backoff backoff_;

  bool is_reading_ = false;
  bool is_advancing_ = false;
  step step_ = step::kIdle;
  time_point resume_at_{};
  time_point watch_began_at_{};
  unsigned consecutive_torn_reads_ = 0;
  folder_listing listing_;
  std::vector<std::size_t> unread_;      ///< Entries to read, in reverse order.
  contents_by_digest held_contents_;     ///< Set by SetHeldFiles().
  contents_by_digest fetched_contents_;  ///< Read for the current listing.

  bool has_delivered_ = false;
  std::uint64_t delivered_revision_ = 0;
  std::vector<manifest_entry> delivered_entries_;
  std::uint64_t platform_revision_ = 0;  ///< Its last answer.
  std::uint64_t highest_answered_ = 0;
  std::uint64_t highest_known_ = 0;  ///< Includes LearnRevision().

  call_tracker calls_;
  source_state state_ = source_state::kUnknown;
  folder_reader_counters counters_;
};

}  // namespace wagtailmount
