#include "LibTraffic/backend_gate.h"

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

namespace wagtailmount::detail {

backend_slot::~backend_slot() {
  if (gate_ != nullptr) {
    gate_->ReleaseSlot(id_, use_);
  }
}

bool backend_slot::TrySend() { return gate_->TrySend(id_); }

void backend_gate::SetLimits(const upstream_limits& limits) {
  const std::lock_guard lock{mutex_};
  admission_.SetLimits(limits);
  // Each slot must be able to open a connection of its own, so only the
  // connections beyond the number of slots may stay idle.
  const auto spare =
      static_cast<int>(limits.connections) - static_cast<int>(limits.slots);
  maximum_idle_connections_ = std::max(0, spare);
}

void backend_gate::SetRateLimit(std::optional<double> requests_a_second) {
  const std::lock_guard lock{mutex_};
  if (rate_limit_ != requests_a_second) {
    rate_limit_ = requests_a_second;
    ApplyEffects(admission_.SetRateLimit(clock_.Now(), requests_a_second));
    WakeForNextStart();
  }
}

void backend_gate::RefuseQueued(refusal_cause cause) {
  const std::lock_guard lock{mutex_};
  ApplyEffects(admission_.RefuseQueued(cause));
}

void backend_gate::RefuseQueued(admission_id id, refusal_cause cause) {
  const std::lock_guard lock{mutex_};
  if (admission_.Withdraw(id)) {
    const admission_effect refused{id, cause};
    ApplyEffects({&refused, 1});
  }
}

void backend_gate::SetMostCold(std::optional<std::size_t> most,
                               time_point unknown_until) {
  const std::lock_guard lock{mutex_};
  admission_.SetMostCold(most, unknown_until);
}

void backend_gate::SetCold(bool is_cold) {
  const std::lock_guard lock{mutex_};
  is_cold_ = is_cold;
  ApplyEffects(admission_.SetCold(clock_.Now(), is_cold));
  WakeForNextStart();
}

bool backend_gate::TrySend(admission_id id) {
  const std::lock_guard lock{mutex_};
  return admission_.TrySend(clock_.Now(), id);
}

void backend_gate::ForgetWaiters() {
  const std::lock_guard lock{mutex_};
  waiters_.clear();
}

idle_connection_permit backend_gate::TryAcquireIdlePermit() {
  if (++idle_connections_ <= maximum_idle_connections_) {
    return idle_connection_permit{idle_connections_};
  }
  --idle_connections_;
  return {};
}

owner_load backend_gate::Load(request_priority rank, request_kind kind) const {
  const std::lock_guard lock{mutex_};
  return admission_.Load(clock_.Now(), rank, kind);
}

task<slot_result> backend_gate::AcquireSlot(arriving_request arriving,
                                            disconnect_watcher& watch) {
  const auto executor = co_await boost::asio::this_coro::executor;
  std::shared_ptr<waiter> waiting;
  admission_reply reply;
  {
    const std::lock_guard lock{mutex_};
    reply = admission_.Arrive(clock_.Now(), arriving);
    if (reply.decided == admission_reply::kind::kQueued) {
      waiting = std::make_shared<waiter>(executor);
      waiters_.emplace(reply.id, waiting);
    }
    ApplyEffects(reply.effects);
    WakeForNextStart();
  }
  slot_result acquired;
  if (reply.decided == admission_reply::kind::kRefused) {
    acquired.refused = reply.refused;
  } else if (reply.decided == admission_reply::kind::kStart) {
    acquired.slot = backend_slot{*this, reply.id};
  } else {
    watch.CallOnDisconnect(
        [this, id = reply.id] { RefuseQueued(id, refusal_cause::kAbandoned); });
    acquired = co_await Wait(reply.id, std::move(waiting), reply.start_by);
    watch.CallOnDisconnect({});
  }
  co_return acquired;
}

task<slot_result> backend_gate::Wait(admission_id id,
                                     std::shared_ptr<waiter> waiting,
                                     time_point start_by) {
  while (true) {
    {
      const std::lock_guard lock{mutex_};
      const time_point now = clock_.Now();
      if (!waiting->is_decided && now >= start_by && admission_.Withdraw(id)) {
        waiting->is_decided = true;
        waiting->refused = refusal_cause::kOverloaded;
        waiters_.erase(id);
      }
      if (!waiting->is_decided && LimitsStarts()) {
        ApplyEffects(admission_.Advance(now));
      }
      if (waiting->is_decided) {
        WakeForNextStart();
        break;
      }
      time_point wake_at = start_by;
      if (LimitsStarts() && waiters_.begin()->second == waiting) {
        wake_at =
            std::min(wake_at, admission_.NextStart(now).value_or(wake_at));
      }
      waiting->timer.expires_after(wake_at - now);
    }
    error_code ignored;
    co_await waiting->timer.async_wait(ReportTo(ignored));
  }
  slot_result acquired;
  acquired.refused = waiting->refused;
  if (acquired.refused == refusal_cause::kNone) {
    acquired.slot = backend_slot{*this, id};
  }
  co_return acquired;
}

void backend_gate::ReleaseSlot(admission_id id, slot_use use) {
  const std::lock_guard lock{mutex_};
  const time_point now = clock_.Now();
  if (use == slot_use::kNotSent) {
    ApplyEffects(admission_.Cancel(now, id));
  } else if (use == slot_use::kGivenUp) {
    ApplyEffects(admission_.Abandon(now, id));
  } else {
    ApplyEffects(admission_.Finish(now, id, use == slot_use::kRan));
  }
  WakeForNextStart();
}

void backend_gate::ApplyEffects(std::span<const admission_effect> effects) {
  for (const admission_effect& effect : effects) {
    const auto found = waiters_.find(effect.id);
    if (found == waiters_.end()) {
      continue;
    }
    std::shared_ptr<waiter> waiting = std::move(found->second);
    waiters_.erase(found);
    waiting->is_decided = true;
    waiting->refused = effect.refused;
    Wake(waiting);
  }
}

// Timers are not thread-safe: cancels on the waiting request's own thread.
void backend_gate::Wake(const std::shared_ptr<waiter>& waiting) {
  boost::asio::post(waiting->timer.get_executor(),
                    [waiting] { waiting->timer.cancel(); });
}

// Only a limit of starts lets requests start as time passes. Lets the first
// waiting request set its timer anew, for the next start may have changed.
void backend_gate::WakeForNextStart() {
  if (LimitsStarts() && !waiters_.empty()) {
    Wake(waiters_.begin()->second);
  }
}

}  // namespace wagtailmount::detail
