#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <tuple>
#include <vector>

#include "LibBase/clock.h"
#include "LibLoad/crash_report.h"

namespace wagtailmount {

/// Whether a request may run, by the crashes that happened under it.
enum class request_standing : std::uint8_t {
  kAllowed,
  kQuarantined,  ///< It crashes the backend servers that run it.
  /// Quarantined for long enough to run once more, at one backend server.
  kTrialDue,
};

/// Decides which requests crash the backend servers that run them. Every
/// request that runs when a backend server crashes is reported; a sound one is
/// told apart by the whole answer that it gets at the next attempt or at
/// another backend server. Reports of all nodes are merged, and the order in
/// which they arrive does not matter. Not thread-safe.
class crash_ledger {
 public:
  static constexpr std::size_t kMaximumRequests = 1'024;
  static constexpr std::size_t kMaximumCrashesOfRequest = 10;
  static constexpr std::size_t kMaximumSummary = 128;

  /// Adds reports; returns those that changed what is known.
  std::vector<crash_report> Merge(time_point now,
                                  std::span<const crash_report> reports);

  /// Records that a whole answer to `request` was received, which refutes all
  /// that is known against it. Returns what changed.
  std::vector<crash_report> Refute(time_point now,
                                   const request_fingerprint& request);

  /// Whether a request with this request_fingerprint::head may have crashes.
  bool IsHeadKnown(std::uint64_t head) const;

  bool IsEmpty() const { return suspects_.empty(); }

  /// How many crashes are known and not refuted.
  std::uint32_t CrashesOf(const request_fingerprint& request) const;

  request_standing StandingOf(time_point now,
                              const request_fingerprint& request) const;

  /// Records that a request whose trial is due starts at this node.
  void BeginTrial(time_point now, const request_fingerprint& request);

  /// All that is known about one request, refuted reports included.
  std::vector<crash_report> ReportsOf(time_point now,
                                      const request_fingerprint& request) const;

  /// The reports that are not refuted, of the most suspect requests first; at
  /// most kMaximumSummary.
  std::vector<crash_report> Summary(time_point now) const;

  std::size_t QuarantinedCount(time_point now) const;

 private:
  struct crash {
    std::uint32_t depth = 1;
    bool is_refuted = false;
    time_point at;

    std::uint32_t Weight() const { return is_refuted ? 0 : depth; }
  };

  struct suspect {
    std::map<std::uint64_t, crash> crashes;  ///< By crash_report::crash.
    time_point trial_began_at{};             ///< Zero before the first trial.

    std::uint32_t Unrefuted() const;
    std::uint32_t Depth() const;
    time_point LastEvent() const;
    /// Orders suspects; the most suspect is the greatest.
    std::tuple<std::uint32_t, std::uint32_t, time_point> Rank() const;
  };

  using suspect_map = std::map<request_fingerprint, suspect>;

  bool MergeOne(time_point now, const crash_report& report);
  void Forget(time_point now);
  bool MakeRoomFor(const crash_report& report);
  static request_standing StandingOf(time_point now, const suspect& known);
  static void AddReports(time_point now, const request_fingerprint& request,
                         const suspect& known,
                         std::vector<crash_report>& reports);

  suspect_map suspects_;
  time_point next_cleanup_{};
};

}  // namespace wagtailmount
