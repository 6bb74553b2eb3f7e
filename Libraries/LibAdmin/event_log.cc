#include "LibAdmin/event_log.h"

#include <utility>

namespace wagtailmount {

std::string_view NameOf(event_kind kind) {
  switch (kind) {
    case event_kind::kStarted:
      return "started";
    case event_kind::kInForce:
      return "in-force";
    case event_kind::kRefused:
      return "refused";
    case event_kind::kServing:
      return "serving";
    case event_kind::kPlatform:
      return "platform";
    case event_kind::kReaderRole:
      return "reader-role";
    case event_kind::kPeer:
      return "peer";
    case event_kind::kMembership:
      return "membership";
    case event_kind::kPause:
      return "pause";
    case event_kind::kDrain:
      return "drain";
    case event_kind::kEvacuation:
      return "evacuation";
    case event_kind::kConflict:
      return "conflict";
  }
  return "unknown";
}

event_log::event_log(const runtime_clock& clock, std::size_t capacity)
    : clock_(clock), capacity_(capacity) {}

void event_log::Add(event_kind kind, std::uint64_t revision, std::string text) {
  ++last_sequence_;
  events_.push_back({last_sequence_, clock_.UnixMilliseconds(), kind, revision,
                     std::move(text)});
  if (events_.size() > capacity_) {
    events_.pop_front();
  }
}

std::vector<event> event_log::After(std::uint64_t after) const {
  std::vector<event> newer;
  for (const auto& entry : events_) {
    if (entry.sequence > after) {
      newer.push_back(entry);
    }
  }
  return newer;
}

}  // namespace wagtailmount
