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
/// So many requests are given up for one that arrives, at most.
constexpr int kMaximumGivenUp = 2;
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

void admission_controller::CountStart(time_point now, request_priority rank,
                                      request_kind kind,
                                      std::optional<duration> longest_wait,
                                      bool is_ordinary) {
  room_.CountStart(rank, kind, WorkOf(now, rank, kind), durations_.OfAll(),
                   longest_wait, is_ordinary);
  served_.CountStarted(now, rank, kind);
}

line_place admission_controller::PlaceOf(time_point now,
                                         const arriving_request& arriving,
                                         duration service) const {
  line_place place;
  place.is_ordinary = !served_.IsBelowFloor(now, arriving.rank, arriving.kind);
  place.rank = arriving.rank;
  place.is_late = IsLate(now, arriving, service);
  place.order =
      place.is_late
          ? WorkOf(now, arriving.rank, arriving.kind)
          : (now + LongestWait(now, arriving, service)).time_since_epoch();
  place.id = last_id_ + 1;
  return place;
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
  served_.CountAsked(now, arriving.rank, arriving.kind);
  const duration service = durations_.Of(now, arriving.rank, arriving.kind);
  const line_place place = PlaceOf(now, arriving, service);
  const bool allows_long_wait =
      place.is_late && StartedShareOfLate(place.rank) >= kLongLateWaitShare;
  const duration longest_wait =
      allows_long_wait ? (arriving.deadline - now) / kLongLateWaitDivisor
                       : LongestWait(now, arriving, service);
  if (IsSlotFree(now) && waiting_.IsEmpty() && rate_.TryTake(now)) {
    reply.decided = admission_reply::kind::kStart;
    reply.id = ++last_id_;
    running_.emplace(reply.id,
                     running_request{now, arriving.rank, arriving.kind});
    CountStart(now, arriving.rank, arriving.kind,
               place.is_late ? std::nullopt : std::optional{longest_wait},
               true);
    return reply;
  }
  const waiting_request request{place.id,
                                arriving.rank,
                                arriving.kind,
                                arriving.deadline,
                                now + longest_wait,
                                longest_wait,
                                WorkOf(now, arriving.rank, arriving.kind)};
  // A request that would wait for too long is refused at once, while there is
  // still time to try another upstream.
  if (!MakeRoom(now, place, request, reply.effects)) {
    reply.refused = arriving.objective == time_point{} ? refusal_cause::kTooLate
                                                       : CauseOfLongWait(now);
    return reply;
  }
  if (waiting_.Size() >= limits_.queue) {
    const auto cheapest = waiting_.TakeCheaperThan(place, request);
    if (!cheapest) {
      reply.refused = refusal_cause::kQueueFull;
      return reply;
    }
    CountLateOutcome(cheapest->first, false);
    reply.effects.push_back({cheapest->second.id, refusal_cause::kShed});
  }
  waiting_.Add(place, request);
  if (!FitsIntoLine(now, place, reply.effects)) {
    reply.refused = CauseOfLongWait(now);
    return reply;
  }
  reply.decided = admission_reply::kind::kQueued;
  reply.id = ++last_id_;
  reply.start_by = request.start_by;
  return reply;
}

void admission_controller::GiveUp(const line_place& place,
                                  std::vector<admission_effect>& effects) {
  CountLateOutcome(place, false);
  effects.push_back({place.id, refusal_cause::kOverloaded});
  waiting_.Remove(place);
}

// Returns whether the request can start in time, if need be because one of much
// longer work is given up for it.
bool admission_controller::MakeRoom(time_point now, const line_place& place,
                                    const waiting_request& request,
                                    std::vector<admission_effect>& effects) {
  // The more of the room goes to later arrivals, the less certain is the wait.
  const double uncertainty =
      place.is_late
          ? 0.0
          : 1.0 - ShareLeft(place, request.kind, request.longest_wait);
  const auto wait = std::chrono::duration_cast<duration>(
      ExpectedWait(now, place, request.kind, request.longest_wait) *
      (1.0 + uncertainty));
  if (wait < request.longest_wait) {
    return true;
  }
  // The work that a request needs is no measure of room under a rate limit.
  if (place.is_late || rate_.Rate()) {
    return false;
  }
  const auto longer = waiting_.LongerWorkAhead(place, request);
  if (!longer) {
    return false;
  }
  const duration gain = std::chrono::duration_cast<duration>(
      waiting_.Entries().at(*longer).work /
      static_cast<std::int64_t>(std::max<std::size_t>(1, Slots())) /
      ShareLeft(place, request.kind, request.longest_wait));
  if (wait - gain >= request.longest_wait) {
    return false;
  }
  GiveUp(*longer, effects);
  return true;
}

// Returns whether the new request may stay in the line: gives up those that
// keep others from starting in time, and returns false if that is the new one.
bool admission_controller::FitsIntoLine(
    time_point now, const line_place& place,
    std::vector<admission_effect>& effects) {
  if (place.is_late || rate_.Rate()) {
    return true;
  }
  for (int given_up = 0; given_up < kMaximumGivenUp; ++given_up) {
    const auto cheapest = waiting_.CheapestInTheWay(now, Slots());
    if (!cheapest) {
      break;
    }
    if (*cheapest == place) {
      waiting_.Remove(place);
      return false;
    }
    GiveUp(*cheapest, effects);
  }
  return true;
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
    abandoned_.Add(now, WorkOf(now, found->second.rank, found->second.kind));
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
  if (waiting_.IsEmpty() || running_.size() >= Slots()) {
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
  for (const auto& [place, request] :
       waiting_.TakeIf([](const auto&) { return true; })) {
    effects.push_back({request.id, cause});
  }
  return effects;
}

bool admission_controller::Withdraw(admission_id id) {
  const auto taken =
      waiting_.TakeIf([id](const auto& each) { return each.second.id == id; });
  for (const auto& [place, request] : taken) {
    CountLateOutcome(place, false);
  }
  return !taken.empty();
}

void admission_controller::RefuseExpired(
    time_point now, std::vector<admission_effect>& effects) {
  const auto expired = waiting_.TakeIf(
      [now](const auto& each) { return each.second.start_by <= now; });
  for (const auto& [place, request] : expired) {
    CountLateOutcome(place, false);
    effects.push_back({request.id, request.deadline <= now
                                       ? refusal_cause::kTooLate
                                       : CauseOfLongWait(now)});
  }
}

void admission_controller::StartQueued(time_point now,
                                       std::vector<admission_effect>& effects) {
  while (!waiting_.IsEmpty() && IsSlotFree(now) && rate_.TryTake(now)) {
    StartNext(now, effects);
  }
}

void admission_controller::StartNext(time_point now,
                                     std::vector<admission_effect>& effects) {
  const auto [place, request] = waiting_.TakeFirst();
  running_.emplace(request.id,
                   running_request{now, request.rank, request.kind});
  CountStart(now, request.rank, request.kind,
             place.is_late ? std::nullopt : std::optional{request.longest_wait},
             place.is_ordinary);
  effects.push_back({request.id, refusal_cause::kNone});
  CountLateOutcome(place, true);
}

// Starts at 1, so that the first late requests may use the longer wait.
double& admission_controller::StartedShareOfLate(request_priority rank) {
  return started_share_of_late_.try_emplace(rank, 1.0).first->second;
}

void admission_controller::CountLateOutcome(const line_place& place,
                                            bool is_started) {
  if (place.is_late) {
    double& share = StartedShareOfLate(place.rank);
    share += ((is_started ? 1.0 : 0.0) - share) / kStartedShareDivisor;
  }
}

}  // namespace wagtailmount
