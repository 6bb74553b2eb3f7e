#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>

#include "LibLoad/admission_controller.h"
#include "LibTraffic/disconnect_watcher.h"
#include "LibTraffic/http_connection.h"
#include "LibTraffic/http_types.h"

namespace wagtailmount::detail {

class backend_gate;

/// What became of a request that was granted a slot.
enum class slot_use : std::uint8_t {
  kRan,      ///< The backend server completed it.
  kNotRun,   ///< Sent, but not completed: its duration is not learned.
  kNotSent,  ///< Called off before anything was sent.
  kGivenUp,  ///< Sent and given up on: it may still run.
};

/// Permission to run one request at the backend server; the destructor releases
/// it. Movable.
class backend_slot {
 public:
  backend_slot() = default;
  backend_slot(backend_gate& gate, admission_id id) : gate_(&gate), id_(id) {}
  backend_slot(backend_slot&& other) noexcept
      : gate_(std::exchange(other.gate_, nullptr)),
        id_(other.id_),
        use_(other.use_) {}
  backend_slot& operator=(backend_slot&& other) noexcept {
    std::swap(gate_, other.gate_);
    std::swap(id_, other.id_);
    std::swap(use_, other.use_);
    return *this;
  }
  backend_slot(const backend_slot&) = delete;
  backend_slot& operator=(const backend_slot&) = delete;
  ~backend_slot();

  /// Whether the request may be written to the backend server now; to be asked
  /// immediately before that. False if it has become cold since the slot was
  /// granted.
  bool TrySend();

  /// States what became of the request; kRan unless this is called.
  void SetUse(slot_use use) { use_ = use; }

 private:
  backend_gate* gate_ = nullptr;
  admission_id id_ = 0;
  slot_use use_ = slot_use::kRan;
};

/// A slot, or the reason why none was granted.
struct slot_result {
  refusal_cause refused = refusal_cause::kNone;
  backend_slot slot;
};

/// Limits the number of requests that run at this VM's backend server at the
/// same time, and how many start in a second if it names a rate limit or is
/// cold; the
/// admission policy queues or refuses the others. Shared by all traffic
/// threads; must outlive their io_contexts.
class backend_gate {
 public:
  explicit backend_gate(const runtime_clock& clock) : clock_(clock) {}

  void SetLimits(const upstream_limits& limits);

  /// Applies the rate limit that the backend server names; none lifts it.
  void SetRateLimit(std::optional<double> requests_a_second);

  /// Refuses all requests that wait for a slot, for `cause`.
  void RefuseQueued(refusal_cause cause);
  /// Sets how many requests may be sent to the backend server while it is cold,
  /// and applies that limit or lifts it; see start_limits.
  void SetMostCold(std::optional<std::size_t> most, time_point unknown_until);
  void SetCold(bool is_cold);

  /// See backend_slot::TrySend(). Called by backend_slot only.
  bool TrySend(admission_id id);

  /// Waits for a slot, for at most as long as the admission policy allows, and
  /// as long as the requester waits for an answer.
  task<slot_result> AcquireSlot(arriving_request arriving,
                                disconnect_watcher& watch);

  /// Drops the requests that wait for a slot. Must be called before the
  /// io_contexts end, which the waiters' timers use, and after their threads.
  void ForgetWaiters();

  /// The reported load for requests of priority `rank` and of `kind`.
  owner_load Load(request_priority rank, request_kind kind) const;

  /// Releases a slot. Called by backend_slot only.
  void ReleaseSlot(admission_id id, slot_use use);

  /// A permit to keep one more idle connection to the backend server, or an
  /// empty one. Idle connections are counted over all threads, so that idle and
  /// busy ones together stay within the connection limit.
  idle_connection_permit TryAcquireIdlePermit();

 private:
  struct waiter {
    explicit waiter(const boost::asio::any_io_executor& executor)
        : timer(executor) {}
    boost::asio::steady_timer timer;
    bool is_decided = false;  ///< Guarded by the gate's mutex.
    refusal_cause refused = refusal_cause::kNone;
  };

  bool LimitsStarts() const {
    return rate_limit_ || is_cold_ || admission_.HoldsAbandoned(clock_.Now());
  }
  void ApplyEffects(std::span<const admission_effect> effects);
  void RefuseQueued(admission_id id, refusal_cause cause);
  static void Wake(const std::shared_ptr<waiter>& waiting);
  void WakeForNextStart();
  task<slot_result> Wait(admission_id id, std::shared_ptr<waiter> waiting,
                         time_point start_by);

  const runtime_clock& clock_;
  mutable std::mutex mutex_;
  admission_controller admission_;
  std::optional<double> rate_limit_;
  bool is_cold_ = false;
  /// The first of them also wakes up when the rate limit lets the next queued
  /// request start, whichever that is.
  std::map<admission_id, std::shared_ptr<waiter>> waiters_;
  std::atomic<int> idle_connections_{0};
  std::atomic<int> maximum_idle_connections_{0};
};

}  // namespace wagtailmount::detail
