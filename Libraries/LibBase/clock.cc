#include "LibBase/clock.h"

namespace wagtailmount {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

time_point system_runtime_clock::Now() const {
  return std::chrono::steady_clock::now();
}

std::int64_t system_runtime_clock::UnixMilliseconds() const {
  return duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void manual_clock::Advance(duration step) {
  now_ += step;
  unix_milliseconds_ += duration_cast<milliseconds>(step).count();
}

}  // namespace wagtailmount
