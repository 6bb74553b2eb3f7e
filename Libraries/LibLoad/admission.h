#pragma once

#include <compare>
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

/// A request as it arrives at its owner.
struct arriving_request {
  time_point deadline;
  request_priority rank = request_priority::kInteractive;
  /// When its answer loses its full worth; zero when that is not told. Then it
  /// waits until its deadline.
  time_point objective{};
};

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
  time_point start_by{};                         ///< If queued.
  std::vector<admission_effect> effects;         ///< On other requests.
};

/// What an owner tells of its load, so that others can place their requests.
struct owner_load {
  duration wait{};     ///< What a fresh request of the asked rank would wait.
  duration service{};  ///< How long a request takes once started.
  std::uint32_t slots = 0;
  duration held{};  ///< How long the owner had the request that it answers.
};

/// How long a request may wait to be started, if it takes `service` then: as
/// long as its answer is of full worth; when that can't be, a part of the time
/// it has left.
duration LongestWait(time_point now, const arriving_request& arriving,
                     duration service);

/// Whether its answer can't be of full worth, however soon it is started.
bool IsLate(time_point now, const arriving_request& arriving, duration service);

/// Decides, at the owner of one backend server, which requests start, wait or
/// are refused: exact slots, lower ranks first, within a rank those that can be
/// on time first, then first come first served; and a wait only as long as the
/// answer can still be of full worth.
///
/// Answers these load patterns:
/// - a burst above capacity: the queue stays so short that what is accepted is
///   on time, and the rest is refused at once, to be tried elsewhere;
/// - an upstream that turns slow: its durations are learned, and it accepts
///   less;
/// - requests that come back after a refusal, past their objective, while fresh
///   ones fill the slots: what is late for one caller must not make the next
///   one late, so they fill the gaps.
class admission {
 public:
  /// The bounds hold from now on; running requests above them go on.
  void SetLimits(const upstream_limits& limits) { limits_ = limits; }

  admission_reply Arrive(time_point now, const arriving_request& arriving);
  admission_reply Arrive(time_point now, time_point deadline,
                         request_priority rank) {
    return Arrive(now, arriving_request{deadline, rank, {}});
  }

  /// A started request has ended. How long it took is learned from those that
  /// the backend server ran.
  std::vector<admission_effect> Finish(time_point now, admission_id id,
                                       bool has_run = true);

  /// A queued request is given up. False when it no longer waits: it was
  /// started or refused before.
  bool Withdraw(admission_id id);

  owner_load Load(request_priority rank) const;

  std::size_t Running() const { return running_.size(); }
  std::size_t Queued() const;

 private:
  /// In the order in which queues are served.
  struct queue_key {
    request_priority rank = request_priority::kInteractive;
    bool is_late = false;

    auto operator<=>(const queue_key&) const = default;
  };

  struct waiting_request {
    admission_id id;
    arriving_request request;
    time_point start_by;
  };

  struct running_request {
    time_point since;
    request_priority rank;
  };

  std::size_t Slots() const;
  void DropLate(time_point now, std::vector<admission_effect>& effects);
  bool StartNext(time_point now, std::vector<admission_effect>& effects);
  bool MakeRoom(queue_key key, std::vector<admission_effect>& effects);
  duration ExpectedWait(queue_key key) const;
  duration DurationOf(request_priority rank) const;
  double& StartedShareOfLate(request_priority rank);
  void CountEnded(queue_key key, bool is_started);
  void LearnDuration(request_priority rank, duration taken);

  upstream_limits limits_;
  admission_id last_id_ = 0;
  std::map<admission_id, running_request> running_;
  std::map<queue_key, std::deque<waiting_request>> waiting_;
  duration mean_duration_{};
  std::map<request_priority, duration> duration_of_rank_;
  /// By rank: the share of late requests that waited and were started;
  /// smoothed.
  std::map<request_priority, double> started_share_of_late_;
};

}  // namespace wagtailmount
