#include "LibLoad/admission_controller.h"

#include <algorithm>
#include <cmath>

#include "LibRouting/timely_wait.h"

namespace wagtailmount {

namespace {

/// A late request may wait for this part of the time left until its deadline:
/// a half while most of the late requests before it were started, else a sixth.
/// With a half, the waits of a caller that may retry twice add up to more than
/// the three seconds for which upstreams are slow after their start. In a
/// lasting overload most late requests are refused after their wait, and
/// meanwhile each occupies a slot of the backend server that called.
constexpr int kLongLateWaitDivisor = 2;
constexpr int kShortLateWaitDivisor = 6;
/// The longer wait is allowed from this share of started late requests.
constexpr double kLongLateWaitShare = 0.5;
/// The newest start weighs 1/32 in the share of its rank: some tenths of a
/// second of starts at a busy owner.
constexpr double kShareOfStartsDivisor = 32.0;
/// At least this part of the starts is taken to be left to a rank, since the
/// share of the others is an estimate.
constexpr double kMinimumShareLeft = 0.1;
/// The newest late request weighs 1/16 in that share.
constexpr double kStartedShareDivisor = 16.0;

}  // namespace

bool IsLate(time_point now, const arriving_request& arriving,
            duration service) {
  return arriving.objective != time_point{} &&
         TimelyWait(arriving.objective - now, service) < duration::zero();
}

duration LongestWait(time_point now, const arriving_request& arriving,
                     duration service) {
  const duration until_deadline = arriving.deadline - now;
  if (arriving.objective == time_point{}) {
    return until_deadline;
  }
  if (IsLate(now, arriving, service)) {
    return until_deadline / kShortLateWaitDivisor;
  }
  return TimelyWait(arriving.objective - now, service);
}

std::size_t admission_controller::Slots() const {
  // Each running request takes a connection of its own.
  return std::min(limits_.slots, limits_.connections);
}

bool admission_controller::IsSlotFree(time_point now) const {
  return HasFreeSlot(Slots(), running_.size(), abandoned_.Held(now));
}

std::size_t admission_controller::Queued() const {
  std::size_t count = 0;
  for (const auto& [key, queue] : waiting_) {
    count += queue.size();
  }
  return count;
}

// The slot that is freed next has run for a part of this, and the next start
// there takes its place in the count of the work ahead.
duration admission_controller::MeanWorkOfRunning(time_point now) const {
  if (running_.empty()) {
    return durations_.OfAll();
  }
  duration work{};
  for (const auto& [id, each] : running_) {
    work += WorkOf(now, each.rank, each.kind);
  }
  return work / static_cast<std::int64_t>(running_.size());
}

// What a request is expected to take of a slot, whether or not its kind has run
// lately.
duration admission_controller::WorkOf(time_point now, request_priority rank,
                                      request_kind kind) const {
  const duration service = durations_.Of(now, rank, kind);
  return service == duration::zero() ? durations_.OfAll() : service;
}

duration admission_controller::ExpectedWait(time_point now,
                                            queue_key key) const {
  duration work = MeanWorkOfRunning(now);
  std::size_t ahead = 0;
  for (const auto& [other, queue] : waiting_) {
    if (other <= key) {
      for (const waiting_request& each : queue) {
        work += each.work;
      }
      ahead += queue.size();
    }
  }
  const duration wait_for_rate = rate_.TimeUntil(now, ahead + 1);
  const bool is_slot_free = IsSlotFree(now) && (Queued() == 0 || rate_.Rate());
  const duration wait_for_slot =
      is_slot_free
          ? duration::zero()
          : work / static_cast<std::int64_t>(std::max<std::size_t>(1, Slots()));
  // Requests of earlier ranks that arrive meanwhile start first.
  const double share_left =
      std::max(kMinimumShareLeft, 1.0 - ShareOfEarlierRanks(key.rank));
  return std::chrono::duration_cast<duration>(
      std::max(wait_for_slot, wait_for_rate) / share_left);
}

double admission_controller::ShareOfEarlierRanks(request_priority rank) const {
  double share = 0.0;
  for (const auto& [other, share_of_other] : share_of_starts_) {
    share += other < rank ? share_of_other : 0.0;
  }
  return share;
}

void admission_controller::CountStart(request_priority rank) {
  share_of_starts_.try_emplace(rank, 0.0);
  for (auto& [other, share] : share_of_starts_) {
    share += ((other == rank ? 1.0 : 0.0) - share) / kShareOfStartsDivisor;
  }
}

admission_reply admission_controller::Arrive(time_point now,
                                             const arriving_request& arriving) {
  admission_reply reply;
  RefuseExpired(now, reply.effects);
  StartQueued(now, reply.effects);
  if (arriving.deadline <= now) {
    reply.refused = refusal_cause::kTooLate;
    return reply;
  }
  if (IsSlotFree(now) && Queued() == 0 && rate_.TryTake(now)) {
    reply.decided = admission_reply::kind::kStart;
    reply.id = ++last_id_;
    running_.emplace(reply.id,
                     running_request{now, arriving.rank, arriving.kind});
    CountStart(arriving.rank);
    return reply;
  }
  // A request that would wait for too long is refused at once, while there is
  // still time to try another upstream.
  const duration service = durations_.Of(now, arriving.rank, arriving.kind);
  const queue_key key{arriving.rank, IsLate(now, arriving, service)};
  const bool allows_long_wait =
      key.is_late && StartedShareOfLate(key.rank) >= kLongLateWaitShare;
  const duration longest_wait =
      allows_long_wait ? (arriving.deadline - now) / kLongLateWaitDivisor
                       : LongestWait(now, arriving, service);
  if (ExpectedWait(now, key) >= longest_wait) {
    reply.refused = arriving.objective == time_point{} ? refusal_cause::kTooLate
                                                       : CauseOfLongWait(now);
    return reply;
  }
  if (Queued() >= limits_.queue && !EvictFromLaterQueue(key, reply.effects)) {
    reply.refused = refusal_cause::kQueueFull;
    return reply;
  }
  reply.decided = admission_reply::kind::kQueued;
  reply.id = ++last_id_;
  reply.start_by = now + longest_wait;
  waiting_[key].push_back({reply.id, arriving, reply.start_by,
                           WorkOf(now, arriving.rank, arriving.kind)});
  return reply;
}

// Refuses the newest request of the last queue if the new request belongs to an
// earlier one. Returns whether the queue has room now.
bool admission_controller::EvictFromLaterQueue(
    queue_key key, std::vector<admission_effect>& effects) {
  for (auto last = waiting_.rbegin(); last != waiting_.rend(); ++last) {
    if (last->second.empty()) {
      continue;
    }
    if (last->first <= key) {
      return false;
    }
    effects.push_back({last->second.back().id, refusal_cause::kShed});
    last->second.pop_back();
    return true;
  }
  return false;
}

std::vector<admission_effect> admission_controller::Finish(time_point now,
                                                           admission_id id,
                                                           bool has_run) {
  std::vector<admission_effect> effects;
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return effects;
  }
  if (has_run) {
    durations_.Record(now, found->second.rank, found->second.kind,
                      now - found->second.since);
  }
  // What was not stated as sent may have been sent until now.
  if (!found->second.is_sent) {
    rate_.RecordSent(now);
  }
  running_.erase(found);
  RefuseExpired(now, effects);
  StartQueued(now, effects);
  return effects;
}

std::vector<admission_effect> admission_controller::Cancel(time_point now,
                                                           admission_id id) {
  const auto found = running_.find(id);
  if (found != running_.end()) {
    rate_.Return();
    found->second.is_sent = true;
  }
  return Finish(now, id, false);
}

std::vector<admission_effect> admission_controller::Abandon(time_point now,
                                                            admission_id id) {
  const auto found = running_.find(id);
  if (found != running_.end()) {
    abandoned_.Add(now, MeanDuration(found->second.rank));
  }
  return Finish(now, id, false);
}

std::vector<admission_effect> admission_controller::Advance(time_point now) {
  std::vector<admission_effect> effects;
  RefuseExpired(now, effects);
  StartQueued(now, effects);
  return effects;
}

std::vector<admission_effect> admission_controller::SetCold(time_point now,
                                                            bool is_cold) {
  rate_.SetCold(is_cold);
  return Advance(now);
}

bool admission_controller::TrySend(time_point now, admission_id id) {
  const auto found = running_.find(id);
  if (found == running_.end() || !rate_.TrySend(now)) {
    return false;
  }
  found->second.is_sent = true;
  return true;
}

refusal_cause admission_controller::CauseOfLongWait(time_point now) const {
  return rate_.IsHeldByColdness(now) ? refusal_cause::kCold
                                     : refusal_cause::kOverloaded;
}

std::vector<admission_effect> admission_controller::SetRateLimit(
    time_point now, std::optional<double> requests_a_second) {
  rate_.SetRate(now, requests_a_second);
  return Advance(now);
}

std::optional<time_point> admission_controller::NextStart(
    time_point now) const {
  if (Queued() == 0 || running_.size() >= Slots()) {
    return std::nullopt;
  }
  const time_point by_rate = now + rate_.TimeUntil(now, 1);
  return IsSlotFree(now)
             ? by_rate
             : std::max(by_rate, abandoned_.NextEnd(now).value_or(by_rate));
}

std::vector<admission_effect> admission_controller::RefuseQueued(
    refusal_cause cause) {
  std::vector<admission_effect> effects;
  for (const auto& [key, queue] : waiting_) {
    for (const waiting_request& each : queue) {
      effects.push_back({each.id, cause});
    }
  }
  waiting_.clear();
  return effects;
}

bool admission_controller::Withdraw(admission_id id) {
  std::size_t count = 0;
  for (auto& [key, queue] : waiting_) {
    const std::size_t erased = std::erase_if(
        queue, [id](const waiting_request& each) { return each.id == id; });
    if (erased > 0) {
      CountLateOutcome(key, false);
    }
    count += erased;
  }
  return count > 0;
}

void admission_controller::RefuseExpired(
    time_point now, std::vector<admission_effect>& effects) {
  for (auto& waiting : waiting_) {
    std::erase_if(waiting.second, [&](const waiting_request& each) {
      const bool has_expired = each.start_by <= now;
      if (has_expired) {
        CountLateOutcome(waiting.first, false);
        effects.push_back({each.id, each.request.deadline <= now
                                        ? refusal_cause::kTooLate
                                        : CauseOfLongWait(now)});
      }
      return has_expired;
    });
  }
}

void admission_controller::StartQueued(time_point now,
                                       std::vector<admission_effect>& effects) {
  while (Queued() > 0 && IsSlotFree(now) && rate_.TryTake(now)) {
    StartNext(now, effects);
  }
}

void admission_controller::StartNext(time_point now,
                                     std::vector<admission_effect>& effects) {
  for (auto& [key, queue] : waiting_) {
    if (queue.empty()) {
      continue;
    }
    const admission_id id = queue.front().id;
    running_.emplace(
        id, running_request{now, key.rank, queue.front().request.kind});
    queue.pop_front();
    CountStart(key.rank);
    effects.push_back({id, refusal_cause::kNone});
    CountLateOutcome(key, true);
    return;
  }
}

// Starts at 1, so that the first late requests may use the longer wait.
double& admission_controller::StartedShareOfLate(request_priority rank) {
  return started_share_of_late_.try_emplace(rank, 1.0).first->second;
}

void admission_controller::CountLateOutcome(queue_key key, bool is_started) {
  if (key.is_late) {
    double& share = StartedShareOfLate(key.rank);
    share += ((is_started ? 1.0 : 0.0) - share) / kStartedShareDivisor;
  }
}

owner_load admission_controller::Load(time_point now, request_priority rank,
                                      request_kind kind) const {
  return {ExpectedWait(now, {rank, false}), durations_.Of(now, rank, kind),
          static_cast<std::uint32_t>(UsableSlots()), duration::zero()};
}

// At a limited rate, no more requests run at the same time than arrive within
// the time that one takes.
std::size_t admission_controller::UsableSlots() const {
  if (!rate_.Rate()) {
    return Slots();
  }
  const double running =
      std::ceil(*rate_.Rate() * SecondsOf(durations_.OfAll()));
  const auto slots = static_cast<double>(Slots());
  return static_cast<std::size_t>(
      std::clamp(running, 1.0, std::max(1.0, slots)));
}

}  // namespace wagtailmount
