#include "LibTraffic/answer_order.h"

#include <algorithm>
#include <utility>

namespace wagtailmount::detail {

line_ticket answer_order::Add() {
  line_.push_back({.ticket = next_});
  return next_++;
}

void answer_order::AllowBehind(line_ticket ticket) {
  if (member* const found = Find(ticket)) {
    found->allows_behind = true;
  }
}

void answer_order::ForbidBehind(line_ticket ticket) {
  if (member* const found = Find(ticket)) {
    found->allows_behind = false;
  }
}

std::size_t answer_order::HoldableBytes() const {
  return limits_.waiting_bytes -
         std::min(limits_.waiting_bytes, waiting_bytes_);
}

bool answer_order::MayRead() const {
  return !is_reading_ended_ && !line_.empty() &&
         line_.size() < limits_.requests &&
         waiting_bytes_ < limits_.waiting_bytes &&
         std::all_of(line_.begin(), line_.end(),
                     [](const member& each) { return each.allows_behind; });
}

bool answer_order::IsFirst(line_ticket ticket) const {
  return !line_.empty() && line_.front().ticket == ticket;
}

bool answer_order::Has(line_ticket ticket) const {
  return Find(ticket) != nullptr;
}

bool answer_order::HasBehind(line_ticket ticket) const {
  return !line_.empty() && line_.back().ticket > ticket;
}

void answer_order::SetWaiting(line_ticket ticket, std::size_t bytes) {
  if (member* const found = Find(ticket)) {
    waiting_bytes_ -= std::exchange(found->waiting_bytes, bytes);
    waiting_bytes_ += bytes;
  }
}

std::size_t answer_order::RemoveFirst(bool is_open) {
  std::size_t cancelled = 0;
  if (!is_open) {
    cancelled = CancelBehindFirst();
  }
  waiting_bytes_ -= line_.front().waiting_bytes;
  line_.erase(line_.begin());
  return cancelled;
}

std::size_t answer_order::CancelBehindFirst() {
  is_reading_ended_ = true;
  if (line_.empty()) {
    return 0;
  }
  const std::size_t cancelled = line_.size() - 1;
  line_.resize(1);
  waiting_bytes_ = line_.front().waiting_bytes;
  return cancelled;
}

const answer_order::member* answer_order::Find(line_ticket ticket) const {
  const auto found = std::find_if(
      line_.begin(), line_.end(),
      [ticket](const member& each) { return each.ticket == ticket; });
  return found == line_.end() ? nullptr : &*found;
}

answer_order::member* answer_order::Find(line_ticket ticket) {
  return const_cast<member*>(std::as_const(*this).Find(ticket));
}

}  // namespace wagtailmount::detail
