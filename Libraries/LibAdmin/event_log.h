#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/clock.h"

namespace wagtailmount {

/// What an event tells of; operators filter by it.
enum class event_kind : std::uint8_t {
  kStarted,
  kInForce,     ///< A version went in force on this node.
  kRefused,     ///< A version was refused.
  kServing,     ///< The node left the joining state.
  kPlatform,    ///< The platform's state as this node sees it changed.
  kReaderRole,  ///< The node began or ceased to read from the platform.
  kPeer,        ///< A control link opened or closed.
  kMembership,  ///< A VM's state changed.
  kPause,       ///< The process did not run for a while.
  kDrain,       ///< A planned stop moved on.
  kEvacuation,  ///< An evacuation of a failure domain began or ended.
  kConflict,    ///< Two versions of one revision, or a version gone back.
};

std::string_view NameOf(event_kind kind);

/// One change of state.
struct event {
  std::uint64_t sequence = 0;  ///< From 1, without gaps, since the start.
  std::int64_t unix_milliseconds = 0;
  event_kind kind = event_kind::kStarted;
  std::uint64_t revision = 0;  ///< 0 when the event is about no version.
  std::string text;
};

/// The last events of this node, in a bounded ring.
class event_log {
 public:
  event_log(const runtime_clock& clock, std::size_t capacity);

  void Add(event_kind kind, std::uint64_t revision, std::string text);

  /// The kept events with a sequence number above `after`, oldest first.
  std::vector<event> After(std::uint64_t after) const;

  /// The sequence number of the newest event; 0 before the first.
  std::uint64_t LastSequence() const { return last_sequence_; }

 private:
  const runtime_clock& clock_;
  std::size_t capacity_;
  std::uint64_t last_sequence_ = 0;
  std::deque<event> events_;
};

}  // namespace wagtailmount
