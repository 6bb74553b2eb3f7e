#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "LibBase/clock.h"

namespace wagtailmount {

/// Why a backend server is taken to be cold.
enum class cold_sign : std::uint8_t {
  kNone,             ///< It is not.
  kStated,           ///< It states so.
  kOwnStart,         ///< This process has just started and was not told yet.
  kNewStart,         ///< Another start of it is registered.
  kUnreachable,      ///< It took no connection: it may have ended.
  kConnectionLost,   ///< A connection was lost: it may have ended.
  kEvacuationEnded,  ///< The evacuation of its failure domain ended.
};

/// The name of a sign in log lines, such as "connection-lost".
std::string_view NameOf(cold_sign sign);

/// What is registered about a backend server.
struct cold_registration {
  std::uint64_t incarnation = 0;  ///< Its start; 0 if unknown.
  std::chrono::milliseconds remaining{0};
  time_point stated_at{};  ///< When this was read; zero if it states nothing.
  time_point evacuation_ended_at{};  ///< Zero if there was no evacuation.
};

/// Judges, at the owner, whether its backend server is cold now. After a sign
/// that it may have started anew it is taken to be cold for the whole period,
/// unless a newer statement or an answer tells otherwise.
///
/// Handles this load pattern: backend servers that come back cold, one or a
/// whole failure domain, while callers send what warm ones can take.
class cold_start_judge {
 public:
  /// `started_at`: when this process started.
  explicit cold_start_judge(time_point started_at)
      : doubted_since_(started_at) {}

  /// Sets for how long a backend server is cold after its start.
  void SetPeriod(std::chrono::milliseconds period) { period_ = period; }

  /// Takes what is registered now; may be called again with the same.
  void Register(time_point now, const cold_registration& registered);

  /// An answer to what was asked at `asked_at` states the remaining time.
  void RecordStatement(time_point now, time_point asked_at,
                       std::chrono::milliseconds remaining);

  /// It took no connection.
  void RecordUnreachable(time_point now) {
    Doubt(now, cold_sign::kUnreachable);
  }

  /// A connection to it was lost, or found closed, that last carried an answer
  /// or was opened at `alive_at`: it may have ended since then.
  void RecordConnectionLost(time_point now, time_point alive_at);

  /// It answered on a connection that was opened at `opened_at`: it has run
  /// since then.
  void RecordAnswer(time_point opened_at);

  /// By which sign it is taken to be cold at `now`.
  cold_sign SignAt(time_point now) const;

  /// Until when, as far as is known now.
  time_point ColdUntil() const;

 private:
  /// It may have ended after `after`, and by `by` at the latest.
  struct possible_end {
    time_point after;
    time_point by;
  };

  void Doubt(time_point at, cold_sign sign);
  void EndDoubtsBefore(time_point at);

  std::chrono::milliseconds period_{0};
  std::uint64_t incarnation_ = 0;
  time_point registration_stated_at_{};
  time_point evacuation_ended_at_{};
  time_point stated_until_{};
  cold_sign doubt_ = cold_sign::kOwnStart;
  time_point doubted_since_{};
  std::optional<possible_end> lost_;  ///< By lost connections.
};

}  // namespace wagtailmount
