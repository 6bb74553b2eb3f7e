#pragma once

#include "LibBase/clock.h"

namespace wagtailmount {

/// How long a request may wait to be started, if it takes `service` in the mean
/// then, so that its answer is most likely of full worth. Negative when that
/// can't be. Owners admit by it, and others foresee by it whom an owner would
/// refuse.
///
/// Answers the load pattern of a lasting overload: the slots stay busy with a
/// short queue as well as with a long one, but behind a long one answers whose
/// work takes longer than the mean come late.
duration TimelyWait(duration objective_left, duration service);

}  // namespace wagtailmount
