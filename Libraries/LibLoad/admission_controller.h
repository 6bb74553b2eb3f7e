#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "LibBase/clock.h"
#include "LibConfig/configuration.h"
#include "LibLoad/abandoned_work.h"
#include "LibLoad/attempt_outcome.h"
#include "LibLoad/served_shares.h"
#include "LibLoad/service_times.h"
#include "LibLoad/start_limits.h"
#include "LibLoad/waiting_line.h"
#include "LibLoad/work_shares.h"

namespace wagtailmount {

/// Identifies one request at its owner; never reused.
using admission_id = std::uint64_t;

/// A request as it arrives at its owner.
struct arriving_request {
  time_point deadline;
  /// Requests of a lower rank start first.
  request_priority rank = request_priority::kInteractive;
  /// The time by which an answer meets the latency objective; zero if unknown.
  /// Then the request may wait until its deadline.
  time_point objective{};
  request_kind kind = kUnknownKind;
};

/// What happens to a queued request as another one arrives or ends.
struct admission_effect {
  admission_id id = 0;
  /// kNone: it starts now. Otherwise it is refused and has not run.
  refusal_cause refused = refusal_cause::kNone;

  bool operator==(const admission_effect&) const = default;
};

/// The decision on an arriving request.
struct admission_reply {
  enum class kind : std::uint8_t { kStart, kQueued, kRefused };
  kind decided = kind::kRefused;
  admission_id id = 0;                           ///< Valid unless refused.
  refusal_cause refused = refusal_cause::kNone;  ///< If refused.
  time_point start_by{};                         ///< If queued.
  std::vector<admission_effect> effects;         ///< On queued requests.
};

/// An owner's reported load, by which other nodes choose an upstream.
struct owner_load {
  duration wait{};     ///< Expected wait of a new request that is not late.
  duration service{};  ///< Mean time a request takes once started.
  std::uint32_t slots = 0;
  duration held{};  ///< Time the answered request spent at the owner.
};

/// Returns how long a request may wait for its start if it then takes
/// `service`: as long as its answer can meet its objective; if that is
/// impossible, a fixed part of the time left until its deadline.
duration LongestWait(time_point now, const arriving_request& arriving,
                     duration service);

/// Returns whether its answer would miss its objective even if it started now.
bool IsLate(time_point now, const arriving_request& arriving, duration service);

/// Decides, at the owner of one backend server, which requests start, wait or
/// are refused. A request starts only if a slot is free and the rate that the
/// backend server takes allows it. Lower ranks start
/// first; within a rank, requests that can still meet their objective start
/// before late ones, and of them the one that must start soonest. Where there
/// is too little room, what is turned away is what costs callers least for the
/// room that it frees, down to a floor for each kind: see waiting_line and
/// served_shares. A request waits no
/// longer than LongestWait(), or, if it is late while most late requests of its
/// rank get a slot, for a larger part of its remaining time.
///
/// Handles these load patterns:
/// - a burst above capacity: the queue stays short enough for the accepted
///   requests to be on time; the rest is refused at once and can be sent to
///   another upstream;
/// - an upstream that slows down: its service time is measured, and it accepts
///   fewer requests;
/// - a backend server that names a rate limit: the requests that can start in
///   time wait for their turn, and the rest is refused at once;
/// - retries past their objective while new requests fill the slots: they get
///   only the slots that new requests leave idle, so that a late request
///   doesn't make the next one late too.
class admission_controller {
 public:
  /// Applies from now on; requests that already run above the new limits
  /// continue.
  void SetLimits(const upstream_limits& limits) { limits_ = limits; }

  /// Sets how many requests a second the backend server takes; none if it names
  /// no limit. Returns which queued requests start or are refused.
  std::vector<admission_effect> SetRateLimit(
      time_point now, std::optional<double> requests_a_second);

  /// Sets how many requests may be sent to the backend server while it is cold;
  /// see start_limits::SetMostCold().
  void SetMostCold(std::optional<std::size_t> most, time_point unknown_until) {
    rate_.SetMostCold(most, unknown_until);
  }

  /// Applies that limit or lifts it; returns which queued requests start or are
  /// refused.
  std::vector<admission_effect> SetCold(time_point now, bool is_cold);

  /// Whether a started request may be written to the backend server now. False
  /// if that has become cold since; the request is then to be cancelled.
  bool TrySend(time_point now, admission_id id);

  /// Starts, queues or refuses a request.
  admission_reply Arrive(time_point now, const arriving_request& arriving);
  admission_reply Arrive(time_point now, time_point deadline,
                         request_priority rank) {
    return Arrive(now, arriving_request{deadline, rank, {}});
  }

  /// Ends a started request and returns which queued ones start or are refused.
  /// `has_run` tells whether the backend server ran it: only then does its
  /// duration count towards the mean service time.
  std::vector<admission_effect> Finish(time_point now, admission_id id,
                                       bool has_run = true);

  /// Ends a started request that was not sent to the backend server and returns
  /// which queued ones start or are refused. It does not count towards the rate
  /// limit.
  std::vector<admission_effect> Cancel(time_point now, admission_id id);

  /// Ends a started request that was sent and given up on, so that it may still
  /// run, and returns which queued ones start or are refused.
  std::vector<admission_effect> Abandon(time_point now, admission_id id);

  /// Whether requests given up on may still run.
  bool HoldsAbandoned(time_point now) const { return abandoned_.Held(now) > 0; }

  /// Returns which queued requests start or are refused only because time has
  /// passed.
  std::vector<admission_effect> Advance(time_point now);

  /// When Advance() can start the next queued request because time passes; none
  /// if it waits for a running one, or nothing is queued.
  std::optional<time_point> NextStart(time_point now) const;

  /// Refuses all that is queued, for `cause`.
  std::vector<admission_effect> RefuseQueued(refusal_cause cause);

  /// Removes a queued request. Returns false if it is not queued any more
  /// because it was started or refused.
  bool Withdraw(admission_id id);

  /// Returns the reported load for requests of `rank` and `kind`; `held` is
  /// zero. Its service time is zero while none of that kind has run.
  owner_load Load(time_point now, request_priority rank,
                  request_kind kind = kUnknownKind) const;

  std::size_t Running() const { return running_.size(); }
  std::size_t Queued() const { return waiting_.Size(); }

 private:
  struct running_request {
    time_point since;
    request_priority rank;
    request_kind kind;
    bool is_sent = false;
  };

  std::size_t Slots() const;
  bool IsSlotFree(time_point now) const;
  std::size_t UsableSlots() const;
  refusal_cause CauseOfLongWait(time_point now) const;
  void RefuseExpired(time_point now, std::vector<admission_effect>& effects);
  void StartQueued(time_point now, std::vector<admission_effect>& effects);
  void StartNext(time_point now, std::vector<admission_effect>& effects);
  line_place PlaceOf(time_point now, const arriving_request& arriving,
                     duration service) const;
  bool MakeRoom(time_point now, const line_place& place,
                const waiting_request& request,
                std::vector<admission_effect>& effects);
  bool FitsIntoLine(time_point now, const line_place& place,
                    std::vector<admission_effect>& effects);
  void GiveUp(const line_place& place, std::vector<admission_effect>& effects);
  double ShareLeft(const line_place& place, request_kind kind,
                   duration longest_wait) const;
  duration ExpectedWait(time_point now, const line_place& place,
                        request_kind kind, duration longest_wait) const;
  duration MeanWorkOfRunning(time_point now) const;
  duration WorkOf(time_point now, request_priority rank,
                  request_kind kind) const;
  void CountStart(time_point now, request_priority rank, request_kind kind,
                  std::optional<duration> longest_wait, bool is_ordinary);
  double& StartedShareOfLate(request_priority rank);
  void CountLateOutcome(const line_place& place, bool is_started);

  upstream_limits limits_;
  start_limits rate_;
  abandoned_work abandoned_;
  admission_id last_id_ = 0;
  std::map<admission_id, running_request> running_;
  waiting_line waiting_;
  service_times durations_;
  work_shares room_;
  served_shares served_;
  /// Of each rank: the moving average of the share of queued late requests that
  /// were started.
  std::map<request_priority, double> started_share_of_late_;
};

}  // namespace wagtailmount
