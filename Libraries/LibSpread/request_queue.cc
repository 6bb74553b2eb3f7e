#include "LibSpread/request_queue.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace wagtailmount {

request_queue::request_queue(std::uint64_t bytes_per_second, time_point now)
    : bytes_per_second_(static_cast<double>(bytes_per_second)),
      budget_bytes_(bytes_per_second_),
      refilled_at_(now) {}

bool request_queue::Add(time_point now, content_request request) {
  Refill(now);
  const auto same = std::find_if(
      waiting_.begin(), waiting_.end(), [&](const content_request& earlier) {
        return earlier.peer_vm == request.peer_vm &&
               earlier.wanted.index() == request.wanted.index();
      });
  if (same != waiting_.end()) {
    same->wanted = std::move(request.wanted);
  } else {
    waiting_.push_back(std::move(request));
  }
  return budget_bytes_ <= 0;
}

std::optional<content_request> request_queue::Next(time_point now) {
  Refill(now);
  if (waiting_.empty() || budget_bytes_ <= 0) {
    return std::nullopt;
  }
  auto request = std::move(waiting_.front());
  waiting_.pop_front();
  return request;
}

// One answer may take the budget below zero, so that an answer larger than the
// budget of a whole second can be served too.
void request_queue::Spend(std::uint64_t bytes) {
  budget_bytes_ -= static_cast<double>(bytes);
}

void request_queue::RemovePeer(std::string_view peer_vm) {
  std::erase_if(waiting_, [&](const content_request& request) {
    return request.peer_vm == peer_vm;
  });
}

void request_queue::Refill(time_point now) {
  const std::chrono::duration<double> passed = now - refilled_at_;
  refilled_at_ = now;
  budget_bytes_ = std::min(bytes_per_second_,
                           budget_bytes_ + passed.count() * bytes_per_second_);
}

}  // namespace wagtailmount
