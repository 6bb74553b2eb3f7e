#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>

#include "LibLoad/cold_start_judge.h"
#include "LibLog/structured_log.h"
#include "LibRouting/routing_snapshot.h"
#include "LibTraffic/backend_gate.h"

namespace wagtailmount::detail {

/// Passes what is seen of this VM's backend server to the judge of whether it
/// is cold, and the verdict to the gate. Does nothing where the service sets no
/// rate for cold backend servers. Shared by all traffic threads.
class backend_warmth {
 public:
  /// `log` may be null. `overage` and `slack`: see traffic_settings.
  backend_warmth(const runtime_clock& clock, structured_log* log,
                 backend_gate& gate, double overage, double slack)
      : clock_(clock),
        log_(log),
        gate_(gate),
        overage_(overage),
        slack_(slack),
        started_at_(clock.Now()),
        judge_(clock.Now()) {}

  /// Applies the limits of the service, and what is registered about the
  /// backend server, if that is known.
  void Publish(const upstream_limits& limits,
               const std::optional<own_backend_server>& own);

  /// Applies that time has passed; to be called before a slot is asked for.
  void Refresh();

  /// No connection to the backend server could be made.
  void RecordUnreachable();

  /// A connection to it was lost that was alive at `alive_at`.
  void RecordConnectionLost(time_point alive_at);

  /// It answered a request sent at `asked_at` on a connection that was opened
  /// at `opened_at`; `cold_time` is the field of the answer that states for how
  /// many milliseconds it stays cold, or empty.
  void RecordAnswer(time_point opened_at, time_point asked_at,
                    std::string_view cold_time);

  bool IsCold() const { return is_cold_; }

 private:
  void Apply(time_point now);
  void Log(time_point now, cold_sign sign) const;

  const runtime_clock& clock_;
  structured_log* const log_;
  backend_gate& gate_;
  const double overage_;
  const double slack_;
  const time_point started_at_;
  std::mutex mutex_;
  cold_start_judge judge_;
  std::atomic<bool> is_limited_{false};
  std::atomic<bool> is_cold_{false};
};

}  // namespace wagtailmount::detail
