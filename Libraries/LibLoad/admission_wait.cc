// The part of admission_controller that estimates waits.
#include <algorithm>
#include <cmath>

#include "LibLoad/admission_controller.h"

namespace wagtailmount {

namespace {

/// At least this part of the starts is taken to be left to a rank, since the
/// share of the others is an estimate.
constexpr double kMinimumShareLeft = 0.1;

}  // namespace

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

// Requests that arrive meanwhile and start first take the rest.
double admission_controller::ShareLeft(const line_place& place,
                                       request_kind kind,
                                       duration longest_wait) const {
  // Late requests start after those of their rank that are on time, but are
  // not refused for those that have yet to arrive.
  const double share_ahead =
      place.is_ordinary
          ? room_.ShareAhead(place.rank, kind,
                             place.is_late ? duration::zero() : longest_wait)
          : 0.0;
  return std::max(kMinimumShareLeft, 1.0 - share_ahead);
}

duration admission_controller::ExpectedWait(time_point now,
                                            const line_place& place,
                                            request_kind kind,
                                            duration longest_wait) const {
  const duration work = MeanWorkOfRunning(now) + waiting_.WorkAhead(place);
  const duration wait_for_rate =
      rate_.TimeUntil(now, waiting_.CountAhead(place) + 1);
  const bool is_slot_free =
      IsSlotFree(now) && (waiting_.IsEmpty() || rate_.Rate());
  const duration wait_for_slot =
      is_slot_free
          ? duration::zero()
          : work / static_cast<std::int64_t>(std::max<std::size_t>(1, Slots()));
  return std::chrono::duration_cast<duration>(
      std::max(wait_for_slot, wait_for_rate) /
      ShareLeft(place, kind, longest_wait));
}

owner_load admission_controller::Load(time_point now, request_priority rank,
                                      request_kind kind) const {
  // The place of the next request of that kind: behind all that are on time if
  // none was started lately.
  const duration usual_wait = room_.UsualWait(rank, kind);
  const bool is_usual = usual_wait != duration::max();
  line_place place;
  place.is_ordinary = !served_.IsBelowFloor(now, rank, kind);
  place.rank = rank;
  place.order = is_usual && kind != kUnknownKind
                    ? (now + usual_wait).time_since_epoch()
                    : duration::max();
  place.id = last_id_ + 1;
  const duration wait =
      ExpectedWait(now, place, kind, is_usual ? usual_wait : duration::zero());
  return {wait, durations_.Of(now, rank, kind),
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
