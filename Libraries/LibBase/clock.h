#pragma once

#include <chrono>
#include <cstdint>

namespace wagtailmount {

/// A point on the monotonic clock of the process.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// A span in seconds, with its fraction.
inline double SecondsOf(duration span) {
  return std::chrono::duration<double>(span).count();
}

/// The source of time. Decisions never ask the operating system themselves, so
/// that tests can pause and advance time.
class runtime_clock {
 public:
  virtual ~runtime_clock() = default;

  /// The monotonic time, for periods, timeouts and ages.
  virtual time_point Now() const = 0;

  /// Milliseconds since the Unix epoch, for incarnations and reports; it may
  /// jump.
  virtual std::int64_t UnixMilliseconds() const = 0;
};

/// The operating system's clocks.
class system_runtime_clock final : public runtime_clock {
 public:
  time_point Now() const override;
  std::int64_t UnixMilliseconds() const override;
};

/// A clock that stands still until it is advanced.
class manual_clock final : public runtime_clock {
 public:
  time_point Now() const override { return now_; }
  std::int64_t UnixMilliseconds() const override { return unix_milliseconds_; }

  /// Moves both clocks on by `step`.
  void Advance(duration step);

 private:
  time_point now_ = time_point{std::chrono::hours{1}};
  std::int64_t unix_milliseconds_ = 1'700'000'000'000;
};

}  // namespace wagtailmount
