#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <span>

#include "LibLoad/admission_controller.h"
#include "LibTraffic/http_connection.h"
#include "LibTraffic/http_types.h"

namespace wagtailmount::detail {

class backend_gate;

/// The right to have one request run at the backend server; given back on
/// destruction. Movable.
class backend_slot {
 public:
  backend_slot() = default;
  backend_slot(backend_gate& gate, admission_id id) : gate_(&gate), id_(id) {}
  backend_slot(backend_slot&& other) noexcept
      : gate_(std::exchange(other.gate_, nullptr)),
        id_(other.id_),
        has_run_(other.has_run_) {}
  backend_slot& operator=(backend_slot&& other) noexcept {
    std::swap(gate_, other.gate_);
    std::swap(id_, other.id_);
    std::swap(has_run_, other.has_run_);
    return *this;
  }
  backend_slot(const backend_slot&) = delete;
  backend_slot& operator=(const backend_slot&) = delete;
  ~backend_slot();

  /// The backend server did not run the request to its end.
  void SetNotRun() { has_run_ = false; }

 private:
  backend_gate* gate_ = nullptr;
  admission_id id_ = 0;
  bool has_run_ = true;
};

/// A slot, or why there is none.
struct gate_reply {
  refusal_cause refused = refusal_cause::kNone;
  backend_slot slot;
};

/// The admission to the backend server of this VM, shared by all traffic
/// threads. Must outlive their io_contexts.
class backend_gate {
 public:
  explicit backend_gate(const runtime_clock& clock) : clock_(clock) {}

  void SetLimits(const upstream_limits& limits);

  /// Waits for a slot, as long as the admission allows.
  task<gate_reply> Enter(arriving_request arriving);

  owner_load Load(request_priority rank) const;

  /// Called by backend_slot.
  void Leave(admission_id id, bool has_run);

  /// Whether one more connection may be kept idle, counted over all threads,
  /// so that idle and busy ones together stay within the limit.
  keep_permit TryKeepConnection();

 private:
  struct waiter {
    explicit waiter(const boost::asio::any_io_executor& executor)
        : timer(executor) {}
    boost::asio::steady_timer timer;
    bool is_decided = false;  ///< Guarded by the gate's mutex.
    refusal_cause refused = refusal_cause::kNone;
  };

  void Apply(std::span<const admission_effect> effects);
  task<gate_reply> Wait(admission_id id, std::shared_ptr<waiter> waiting,
                        time_point start_by);

  const runtime_clock& clock_;
  mutable std::mutex mutex_;
  admission_controller admission_;
  std::map<admission_id, std::shared_ptr<waiter>> waiters_;
  std::atomic<int> kept_connections_{0};
  std::atomic<int> most_kept_connections_{0};
};

}  // namespace wagtailmount::detail
