#include "LibLoad/cold_start_judge.h"

#include <algorithm>

namespace wagtailmount {

namespace {

/// A registration that is read sooner after a sign may have been written before
/// it: writing, spreading and reading take this long.
constexpr std::chrono::milliseconds kRegistrationDelay{500};

}  // namespace

std::string_view NameOf(cold_sign sign) {
  switch (sign) {
    case cold_sign::kNone:
      return "none";
    case cold_sign::kStated:
      return "stated";
    case cold_sign::kOwnStart:
      return "own-start";
    case cold_sign::kNewStart:
      return "new-start";
    case cold_sign::kUnreachable:
      return "unreachable";
    case cold_sign::kConnectionLost:
      return "connection-lost";
    case cold_sign::kEvacuationEnded:
      return "evacuation-ended";
  }
  return "unknown";
}

void cold_start_judge::Doubt(time_point at, cold_sign sign) {
  doubt_ = sign;
  doubted_since_ = at;
}

void cold_start_judge::EndDoubtsBefore(time_point at) {
  if (doubted_since_ <= at) {
    doubt_ = cold_sign::kNone;
  }
  if (lost_ && lost_->by <= at) {
    lost_.reset();
  }
}

void cold_start_judge::Register(time_point now,
                                const cold_registration& registered) {
  const bool is_first = incarnation_ == 0;
  const bool is_new_start = registered.incarnation != incarnation_;
  if (is_new_start && !is_first) {
    Doubt(now, cold_sign::kNewStart);
    stated_until_ = time_point{};
  }
  incarnation_ = registered.incarnation;
  if (registered.stated_at > registration_stated_at_) {
    registration_stated_at_ = registered.stated_at;
    stated_until_ = registered.stated_at + registered.remaining;
    // A start writes its registration itself, so nothing earlier is in it. The
    // first one that this process reads may be that of a start before: both may
    // have lost power.
    EndDoubtsBefore(is_new_start && doubt_ == cold_sign::kNewStart
                        ? now
                        : registered.stated_at - kRegistrationDelay);
  }
  // Looked at last: no statement read together with the end is newer than it.
  if (registered.evacuation_ended_at > evacuation_ended_at_) {
    evacuation_ended_at_ = registered.evacuation_ended_at;
    if (registration_stated_at_ < evacuation_ended_at_ + kRegistrationDelay) {
      Doubt(evacuation_ended_at_, cold_sign::kEvacuationEnded);
    }
  }
}

void cold_start_judge::RecordStatement(time_point now, time_point asked_at,
                                       std::chrono::milliseconds remaining) {
  stated_until_ = now + remaining;
  EndDoubtsBefore(asked_at);
}

void cold_start_judge::RecordConnectionLost(time_point now,
                                            time_point alive_at) {
  const bool is_current = lost_ && now < lost_->by + period_;
  lost_ = possible_end{is_current ? std::min(lost_->after, alive_at) : alive_at,
                       now};
}

void cold_start_judge::RecordAnswer(time_point opened_at) {
  if (!lost_) {
    return;
  }
  // It has not ended since then, so it ended earlier or not at all.
  lost_->by = std::min(lost_->by, opened_at);
  if (lost_->by <= lost_->after) {
    lost_.reset();
  }
}

cold_sign cold_start_judge::SignAt(time_point now) const {
  if (now < stated_until_) {
    return cold_sign::kStated;
  }
  if (doubt_ != cold_sign::kNone && now < doubted_since_ + period_) {
    return doubt_;
  }
  return lost_ && now < lost_->by + period_ ? cold_sign::kConnectionLost
                                            : cold_sign::kNone;
}

time_point cold_start_judge::ColdUntil() const {
  time_point until = stated_until_;
  if (doubt_ != cold_sign::kNone) {
    until = std::max<time_point>(until, doubted_since_ + period_);
  }
  if (lost_) {
    until = std::max<time_point>(until, lost_->by + period_);
  }
  return until;
}

}  // namespace wagtailmount
