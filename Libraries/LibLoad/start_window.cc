#include "LibLoad/start_window.h"

#include <algorithm>

namespace wagtailmount {

void start_window::SetMost(std::optional<std::size_t> most) {
  most_ = most;
  while (sent_at_.size() > most_.value_or(0)) {
    sent_at_.pop_front();
  }
}

void start_window::FillUp(time_point at) {
  sent_at_.assign(most_.value_or(0), at);
}

std::size_t start_window::SentWithin(time_point now, duration span) const {
  const auto oldest =
      std::upper_bound(sent_at_.begin(), sent_at_.end(), now - span);
  return static_cast<std::size_t>(sent_at_.end() - oldest);
}

std::size_t start_window::MostInPart() const {
  return (*most_ + kStartWindowParts - 1) / kStartWindowParts;
}

bool start_window::HasRoom(time_point now) const {
  return TimeUntil(now, 1) == duration::zero();
}

void start_window::Return() {
  reserved_ -= std::min<std::size_t>(reserved_, 1);
}

bool start_window::TrySend(time_point now) {
  if (IsBinding() && SentWithin(now, kStartWindow) >= *most_) {
    return false;
  }
  RecordSent(now);
  return true;
}

void start_window::RecordSent(time_point now) {
  Return();
  if (!most_) {
    return;
  }
  // Threads may report in another order than they read the clock.
  sent_at_.push_back(sent_at_.empty() ? now : std::max(now, sent_at_.back()));
  if (sent_at_.size() > *most_) {
    sent_at_.pop_front();
  }
}

duration start_window::TimeUntil(time_point now, std::size_t count) const {
  if (!IsBinding()) {
    return duration::zero();
  }
  return std::max(
      TimeUntil(now, count, kStartWindow, *most_),
      TimeUntil(now, count, kStartWindow / kStartWindowParts, MostInPart()));
}

duration start_window::TimeUntil(time_point now, std::size_t count,
                                 duration span, std::size_t most) const {
  const std::size_t sent = SentWithin(now, span);
  const std::size_t wanted = reserved_ + sent + count;
  if (wanted <= most) {
    return duration::zero();
  }
  const std::size_t to_leave = wanted - most;
  if (to_leave <= sent) {
    const std::size_t first = sent_at_.size() - sent;
    return sent_at_[first + to_leave - 1] + span - now;
  }
  // Those sent, then whole spans of the ones that are ahead.
  const std::size_t spans = (to_leave - sent - 1) / most + 1;
  const duration until_empty =
      sent == 0 ? duration::zero() : sent_at_.back() + span - now;
  return until_empty + span * static_cast<std::int64_t>(spans);
}

}  // namespace wagtailmount
