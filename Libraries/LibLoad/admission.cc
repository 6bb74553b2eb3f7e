#include "LibLoad/admission.h"

#include <algorithm>

namespace wagtailmount {

namespace {

// The weight of the newest request in the mean duration, as a divisor.
constexpr int kDurationWeight = 16;

}  // namespace

std::size_t admission::Slots() const {
  // Each running request takes a connection of its own.
  return std::min(limits_.slots, limits_.connections);
}

duration admission::ExpectedWait(request_priority priority) const {
  const std::size_t ahead = priority == request_priority::kInteractive
                                ? interactive_.size()
                                : Queued();
  const auto slots =
      static_cast<std::int64_t>(std::max<std::size_t>(1, Slots()));
  return mean_duration_ * static_cast<std::int64_t>(ahead + 1) / slots;
}

admission_reply admission::Arrive(time_point now, time_point deadline,
                                  request_priority priority) {
  admission_reply reply;
  DropLate(now, interactive_, reply.effects);
  DropLate(now, background_, reply.effects);
  if (deadline <= now) {
    reply.refused = refusal_cause::kTooLate;
    return reply;
  }
  if (running_.size() < Slots() && Queued() == 0) {
    reply.decided = admission_reply::kind::kStart;
    reply.id = ++last_id_;
    running_.emplace(reply.id, now);
    return reply;
  }
  // A request that would wait past its deadline is refused at once, while its
  // caller still has time to go elsewhere.
  if (now + ExpectedWait(priority) >= deadline) {
    reply.refused = refusal_cause::kTooLate;
    return reply;
  }
  const bool is_interactive = priority == request_priority::kInteractive;
  if (Queued() >= limits_.queue) {
    if (!is_interactive || background_.empty()) {
      reply.refused = refusal_cause::kQueueFull;
      return reply;
    }
    reply.effects.push_back({background_.back().id, refusal_cause::kShed});
    background_.pop_back();
  }
  reply.decided = admission_reply::kind::kQueued;
  reply.id = ++last_id_;
  (is_interactive ? interactive_ : background_).push_back({reply.id, deadline});
  return reply;
}

std::vector<admission_effect> admission::Finish(time_point now,
                                                admission_id id) {
  std::vector<admission_effect> effects;
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return effects;
  }
  LearnDuration(now - found->second);
  running_.erase(found);
  while (running_.size() < Slots() && (StartNext(now, interactive_, effects) ||
                                       StartNext(now, background_, effects))) {
  }
  return effects;
}

bool admission::Withdraw(admission_id id) {
  const auto is_it = [id](const waiting_request& waiting) {
    return waiting.id == id;
  };
  return std::erase_if(interactive_, is_it) +
             std::erase_if(background_, is_it) >
         0;
}

void admission::DropLate(time_point now, std::deque<waiting_request>& queue,
                         std::vector<admission_effect>& effects) {
  std::erase_if(queue, [&](const waiting_request& waiting) {
    const bool is_late = waiting.deadline <= now;
    if (is_late) {
      effects.push_back({waiting.id, refusal_cause::kTooLate});
    }
    return is_late;
  });
}

bool admission::StartNext(time_point now, std::deque<waiting_request>& queue,
                          std::vector<admission_effect>& effects) {
  DropLate(now, queue, effects);
  if (queue.empty()) {
    return false;
  }
  const admission_id id = queue.front().id;
  queue.pop_front();
  running_.emplace(id, now);
  effects.push_back({id, refusal_cause::kNone});
  return true;
}

void admission::LearnDuration(duration taken) {
  const bool is_first = mean_duration_ == duration::zero();
  mean_duration_ =
      is_first ? taken
               : mean_duration_ + (taken - mean_duration_) / kDurationWeight;
}

}  // namespace wagtailmount
