#include "LibNode/stop_schedule.h"

#include <algorithm>

namespace wagtailmount {

namespace {

using std::chrono::milliseconds;

/// How long a stopping node still accepts requests from callers. The platform
/// checks readiness once a second and stops routing callers here after two
/// failed checks.
constexpr milliseconds kCallerNoticePeriod{2'600};
/// How long, after that, connections that callers opened at the last moment may
/// still bring requests.
constexpr milliseconds kLastRequestPeriod{300};
/// A process that may use a tenth of a core goes without a turn for up to 0.4 s
/// while it is busy, and needs some turns to end.
constexpr milliseconds kCutMargin{800};
/// How long an answer that was given by another node at the last moment, such
/// as a refusal from its queue, may take to reach the caller.
constexpr milliseconds kLastAnswerMargin{150};
/// The part of the grace period in which work may be broken off is its last
/// sixth; the signal to stop may take this long to be handled.
constexpr int kLastPartDivisor = 6;
constexpr milliseconds kLastPartMargin{50};
/// In a short grace period, answers get this part of the time after they are
/// due, and the end of the process the rest.
constexpr int kLastAnswerDivisor = 3;

}  // namespace

stop_schedule MakeStopSchedule(milliseconds grace) {
  const duration period = grace;
  const duration last_part =
      period - period / kLastPartDivisor + kLastPartMargin;
  const duration answer_by = std::min(
      period,
      std::max<duration>(period - kCutMargin - kLastAnswerMargin, last_part));
  const duration cut_at =
      answer_by + std::min<duration>(kLastAnswerMargin,
                                     (period - answer_by) / kLastAnswerDivisor);
  const duration end_by = cut_at + (period - cut_at) / 2;
  const duration drain_at = std::min<duration>(kCallerNoticePeriod, answer_by);
  return {.drain_at = drain_at,
          .close_at = std::min<duration>(drain_at + kLastRequestPeriod, cut_at),
          .answer_by = answer_by,
          .verdict_wait = (end_by - answer_by) / 2,
          .cut_at = cut_at,
          .end_by = end_by};
}

stop_phase StopPhaseAt(duration elapsed, const stop_schedule& schedule,
                       const stop_progress& progress) {
  if (elapsed < schedule.end_by && elapsed >= schedule.close_at &&
      progress.is_idle) {
    return stop_phase::kClose;
  }
  const bool is_answered = progress.has_withdrawn && !progress.is_answering;
  if (elapsed >= schedule.end_by ||
      (elapsed >= schedule.cut_at && is_answered)) {
    return stop_phase::kCut;
  }
  return elapsed >= schedule.drain_at ? stop_phase::kDrain
                                      : stop_phase::kNotice;
}

}  // namespace wagtailmount
