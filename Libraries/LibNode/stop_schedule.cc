#include "LibNode/stop_schedule.h"

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

}  // namespace

stop_phase StopPhaseAt(duration elapsed, milliseconds grace, bool is_idle) {
  if (elapsed >= kCallerNoticePeriod + kLastRequestPeriod && is_idle) {
    return stop_phase::kClose;
  }
  if (elapsed >= grace - kCutMargin) {
    return stop_phase::kCut;
  }
  return elapsed >= kCallerNoticePeriod ? stop_phase::kDrain
                                        : stop_phase::kNotice;
}

duration AnswerPeriod(milliseconds grace) {
  return grace - kCutMargin - kLastAnswerMargin;
}

}  // namespace wagtailmount
