#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "LibBase/clock.h"
#include "LibConfig/configuration.h"
#include "LibLoad/attempt_outcome.h"

namespace wagtailmount {

/// Names one request at its owner; never used twice.
using admission_id = std::uint64_t;

/// What becomes of a request that arrived earlier and was queued.
struct admission_effect {
  admission_id id = 0;
  /// kNone: start it now. Otherwise it is refused and not run.
  refusal_cause refused = refusal_cause::kNone;

  bool operator==(const admission_effect&) const = default;
};

/// What becomes of a request on its arrival.
struct admission_reply {
  enum class kind : std::uint8_t { kStart, kQueued, kRefused };
  kind decided = kind::kRefused;
  admission_id id = 0;                           ///< Unless refused.
  refusal_cause refused = refusal_cause::kNone;  ///< If refused.
  std::vector<admission_effect> effects;         ///< On other requests.
};

/// Decides, at the owner of one backend server, which requests start, wait or
/// are refused: exact slots, a bounded queue that holds no request past its
/// deadline, and interactive requests before background ones.
class admission {
 public:
  /// The bounds hold from now on; running requests above them go on.
  void SetLimits(const upstream_limits& limits) { limits_ = limits; }

  admission_reply Arrive(time_point now, time_point deadline,
                         request_priority priority);

  /// A started request has ended.
  std::vector<admission_effect> Finish(time_point now, admission_id id);

  /// A queued request is given up. False when it no longer waits: it was
  /// started or refused before.
  bool Withdraw(admission_id id);

  std::size_t Running() const { return running_.size(); }
  std::size_t Queued() const {
    return interactive_.size() + background_.size();
  }

 private:
  struct waiting_request {
    admission_id id;
    time_point deadline;
  };

  std::size_t Slots() const;
  void DropLate(time_point now, std::deque<waiting_request>& queue,
                std::vector<admission_effect>& effects);
  bool StartNext(time_point now, std::deque<waiting_request>& queue,
                 std::vector<admission_effect>& effects);
  duration ExpectedWait(request_priority priority) const;
  void LearnDuration(duration taken);

  upstream_limits limits_;
  admission_id last_id_ = 0;
  std::map<admission_id, time_point> running_;  ///< Started when.
  std::deque<waiting_request> interactive_;
  std::deque<waiting_request> background_;
  duration mean_duration_{};
};

}  // namespace wagtailmount
