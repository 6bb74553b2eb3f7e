#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "LibLoad/statement_memory.h"
#include "LibLog/structured_log.h"
#include "LibRouting/routing_snapshot.h"
#include "LibTraffic/http_types.h"
#include "LibTraffic/request_fields.h"

namespace wagtailmount::detail {

/// Reads what the backend server that sent `answer` states about itself;
/// nothing if it may be another than the one that was meant: it refused the
/// request as misdirected, or sent a success without proof of its origin.
std::optional<backend_statement> ReadStatement(const http_response& answer,
                                               const request_fields& fields);

/// What backend servers stated about themselves, shared by all traffic threads.
class backend_statements {
 public:
  /// `log` may be null; it must outlive this object, as must `clock`.
  backend_statements(const runtime_clock& clock, structured_log* log)
      : clock_(clock), log_(log) {}

  /// Records a statement; see statement_memory::Record().
  statement_memory::change Record(time_point asked_at, std::string_view id,
                                  const backend_statement& statement);

  /// Records a rate limit that another node knows. It counts only while this
  /// process has read no answer of its VM's backend server itself. Returns
  /// whether it counts.
  bool RecordFromPeer(std::string_view id, double rate_limit);

  /// States that this process has read an answer of its VM's backend server.
  void SetAnswered() { has_answered_ = true; }

  /// States which start of this VM's backend server is in use now, by its id;
  /// empty if that is not known.
  void SetCurrent(std::string_view id);

  /// States which starts are behind the ids of these upstreams; see
  /// statement_memory::SetStart().
  void SetStarts(std::span<const upstream> upstreams);

  /// Whether `id` is the start that is in use now, as far as that is known.
  /// Only its rate limit binds this VM's backend server.
  bool IsCurrent(std::string_view id) const;

  /// Logs what a statement changed.
  void Log(std::string_view id, const backend_statement& statement,
           statement_memory::change changed) const;

  /// Logs how many requests were started at a backend server that names a rate
  /// limit, at most once a second. `total` counts all that were ever started.
  void LogStarts(std::string_view id, std::uint64_t total);

  /// The rate limit that the backend server names; none if it names none.
  std::optional<double> RateLimitOf(std::string_view id) const;

  /// Since when the backend server states that it leaves; zero if it does not.
  time_point LeavingSince(std::string_view id) const;

 private:
  std::optional<statement_memory::record> Find(std::string_view id) const;

  const runtime_clock& clock_;
  structured_log* const log_;
  mutable std::mutex mutex_;
  statement_memory memory_;
  std::string current_;
  std::uint64_t total_at_last_log_ = 0;
  time_point last_log_{};
  std::atomic<bool> has_answered_{false};
  /// Spares the requests of a quiet time the lock.
  std::atomic<bool> is_empty_{true};
};

}  // namespace wagtailmount::detail
