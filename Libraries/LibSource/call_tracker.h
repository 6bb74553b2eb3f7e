#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "LibBase/clock.h"
#include "LibBase/error.h"
#include "LibSource/platform_client.h"

namespace wagtailmount {

/// Tracks the calls to the platform that are in flight. Only the first answer
/// to a call reaches its handler; answers to a call that was dropped, or that
/// arrive after the tracker was destroyed, are ignored.
class call_tracker {
 public:
  call_tracker() : self_(std::make_shared<call_tracker*>(this)) {}
  ~call_tracker() { *self_ = nullptr; }
  call_tracker(const call_tracker&) = delete;
  call_tracker& operator=(const call_tracker&) = delete;

  /// Registers a call that is due by `deadline` and returns the completion
  /// callback to pass to the client, which wraps `handle`.
  template <typename T>
  platform_client::answer<T> Track(time_point deadline,
                                   std::function<void(result<T>)> handle) {
    const std::uint64_t id = next_id_++;
    calls_.push_back({id, deadline});
    return [self = self_, id, handle = std::move(handle)](result<T> answered) {
      call_tracker* tracker = *self;
      if (tracker != nullptr && tracker->Finish(id)) {
        handle(std::move(answered));
      }
    };
  }

  /// True if the deadline of any call in flight has been reached.
  bool IsOverdue(time_point now) const {
    return std::any_of(calls_.begin(), calls_.end(), [now](const call& call) {
      return call.deadline <= now;
    });
  }

  /// Forgets all calls in flight; their answers will be ignored.
  void DropAll() { calls_.clear(); }

  std::size_t InFlight() const { return calls_.size(); }
  /// Number of answers ignored because their call had been answered or dropped.
  std::uint64_t LateAnswers() const { return late_answers_; }

 private:
  struct call {
    std::uint64_t id = 0;
    time_point deadline;
  };

  /// False if the call is no longer in flight.
  bool Finish(std::uint64_t id) {
    const auto erased =
        std::erase_if(calls_, [id](const call& call) { return call.id == id; });
    late_answers_ += erased == 0 ? 1 : 0;
    return erased > 0;
  }

  std::vector<call> calls_;
  std::uint64_t next_id_ = 1;
  std::uint64_t late_answers_ = 0;
  /// Shared with the callbacks; points to null once the tracker is destroyed.
  std::shared_ptr<call_tracker*> self_;
};

}  // namespace wagtailmount
