#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/clock.h"
#include "LibLoad/attempt_outcome.h"
#include "LibLoad/crash_ledger.h"
#include "LibLog/structured_log.h"
#include "LibTraffic/http_message.h"

namespace wagtailmount::detail {

/// The crashes of backend servers that are known to this node, with the
/// requests that ran at them; shared by all traffic threads.
class request_quarantine final : public crash_report_store {
 public:
  /// `log` may be null; it must outlive this object, as must `clock`. `vm` is
  /// this VM, and `caller_service` names the header field of the caller's
  /// service; empty if there is none.
  request_quarantine(const runtime_clock& clock, structured_log* log,
                     std::string_view vm, std::string_view caller_service)
      : clock_(clock), log_(log), vm_(vm), caller_service_(caller_service) {}

  /// The fingerprint of a request that ran at a backend server when it crashed,
  /// and has not been answered since; nothing for any other.
  std::optional<request_fingerprint> SuspectOf(
      const outgoing_request& request) const;

  request_standing StandingOf(const request_fingerprint& request) const;
  std::uint32_t CrashesOf(const request_fingerprint& request) const;
  std::vector<crash_report> ReportsOf(const request_fingerprint& request) const;

  /// Registers that a request under which `known_crashes` are known runs at
  /// this VM's backend server, until EndRun(), and returns kNone; or returns
  /// why it must not run now. A trial begins only with its run; `is_trial_here`
  /// tells whether this VM is where it is made. Of the requests with more than
  /// one crash, one runs at a time, so that the next crash tells which of them
  /// caused it.
  refusal_cause TryBeginRun(const request_fingerprint& request,
                            std::uint32_t known_crashes, bool is_trial_here);
  void EndRun(const request_fingerprint& request);

  /// Records that this VM's backend server, with the id `backend` if it has
  /// one, crashed while it ran `request`. `known_before` is how many crashes
  /// under the request were known when it was started. Returns the request's
  /// fingerprint.
  request_fingerprint RecordCrash(const outgoing_request& request,
                                  std::string_view backend,
                                  std::uint32_t known_before);

  /// Records that a request was answered completely.
  void RecordAnswer(const request_fingerprint& request);

  /// Adds what another node reported along with a request or an answer.
  void MergeFromHop(std::span<const crash_report> reports);

  std::vector<crash_report> Merge(
      std::span<const crash_report> reports) override;
  std::vector<crash_report> TakeNews() override;
  void SetNewsListener(std::function<void()> listener) override;
  std::vector<crash_report> Summary() const override;

  /// How many requests are in quarantine.
  std::size_t Count() const;

 private:
  struct suspect_run {
    request_fingerprint request;
    std::uint32_t known_crashes = 0;
  };

  std::vector<crash_report> MergeLocked(std::span<const crash_report> reports);
  void AddNews(std::span<const crash_report> news);
  std::uint64_t NameCrash(std::string_view backend);
  bool MustWait(const request_fingerprint& request,
                std::uint32_t known_crashes) const;
  bool IsMostSuspect(const request_fingerprint& request,
                     std::uint32_t known_crashes) const;

  const runtime_clock& clock_;
  structured_log* const log_;
  const std::string vm_;
  const std::string_view caller_service_;
  mutable std::mutex mutex_;
  crash_ledger ledger_;
  std::vector<crash_report> news_;  ///< Bounded; see AddNews().
  /// The suspect requests that run at this VM's backend server, with their
  /// known crashes.
  std::vector<suspect_run> running_;
  std::vector<suspect_run> running_at_last_crash_;
  std::function<void()> news_listener_;  ///< May be empty.
  time_point last_crash_at_{};
  std::uint64_t last_crash_ = 0;  ///< Of this VM's backend server.
  /// Spares the requests of a quiet time the lock and the digest.
  std::atomic<bool> is_empty_{true};
};

}  // namespace wagtailmount::detail
