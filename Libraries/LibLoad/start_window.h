#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

#include "LibBase/clock.h"

namespace wagtailmount {

/// The length of the sliding window: a second, and the longest time for which a
/// process on a small share of a core is suspended between stamping a start and
/// writing it.
inline constexpr std::chrono::milliseconds kStartWindow{1'100};

/// A fifth of the window may have a fifth of the starts, so that they come
/// spread over it: after a burst nothing could start for most of a second, and
/// callers would take the backend server for full.
inline constexpr std::size_t kStartWindowParts = 5;

/// Limits how many requests are sent to a backend server within any second.
/// A start is reserved when it is granted and stamped when it is written; until
/// then it counts as if it were written now.
///
/// Handles this load pattern: a backend server that is cold after its start and
/// ends if it gets the requests of a warm one.
class start_window {
 public:
  /// How many requests may be sent within kStartWindow, and are remembered;
  /// none: the limit does not exist. What is already reserved stays.
  void SetMost(std::optional<std::size_t> most);
  std::optional<std::size_t> Most() const { return most_; }

  /// Whether the limit applies. While it does not, starts are only recorded.
  void SetBinding(bool is_binding) { is_binding_ = is_binding; }
  bool IsBinding() const { return is_binding_ && most_.has_value(); }

  /// Takes the window as full of requests sent at `at`.
  void FillUp(time_point at);

  /// Whether one more may be reserved.
  bool HasRoom(time_point now) const;

  /// States that a reserved start was written, at a time up to `now`.
  void RecordSent(time_point now);

  /// Reserves a start.
  void Reserve() { ++reserved_; }

  /// Gives a reservation back: nothing was sent.
  void Return();

  /// Turns a reservation into a start that is written now. False if the limit
  /// has come to apply since and leaves no room; the reservation then stays.
  bool TrySend(time_point now);

  /// How long it takes until `count` further starts, at least 1, have had room.
  duration TimeUntil(time_point now, std::size_t count) const;

 private:
  std::size_t SentWithin(time_point now, duration span) const;
  duration TimeUntil(time_point now, std::size_t count, duration span,
                     std::size_t most) const;
  std::size_t MostInPart() const;

  std::optional<std::size_t> most_;
  bool is_binding_ = false;
  std::size_t reserved_ = 0;
  std::deque<time_point> sent_at_;  ///< Ascending; the newest `most_`.
};

}  // namespace wagtailmount
