#include "LibLog/structured_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace wagtailmount {

structured_log::structured_log(settings chosen, const runtime_clock& clock)
    : settings_(chosen),
      clock_(clock),
      allowance_(static_cast<double>(chosen.lines_a_second)),
      refilled_at_(clock.Now()) {
  waiting_.set_capacity(static_cast<std::ptrdiff_t>(chosen.capacity));
}

void structured_log::Add(log_line line) {
  line.Number("unix_ms", clock_.UnixMilliseconds());
  if (!waiting_.try_push(std::move(line).Finish())) {
    ++dropped_;
  }
}

void structured_log::Flush() {
  const time_point now = clock_.Now();
  const double seconds =
      std::chrono::duration<double>(now - refilled_at_).count();
  refilled_at_ = now;
  const auto rate = static_cast<double>(settings_.lines_a_second);
  allowance_ = std::min(allowance_ + seconds * rate, rate);
  std::string line;
  while (unwritten_.size() < settings_.bytes_a_flush &&
         waiting_.try_pop(line)) {
    if (allowance_ < 1.0) {
      ++dropped_;
      continue;
    }
    allowance_ -= 1.0;
    unwritten_ += line;
    unwritten_ += '\n';
  }
  const std::uint64_t dropped = dropped_.load();
  if (dropped != dropped_told_ && unwritten_.size() < settings_.bytes_a_flush) {
    log_line told{"log-lines-dropped"};
    told.Number("count", static_cast<std::int64_t>(dropped - dropped_told_));
    dropped_told_ = dropped;
    unwritten_ += std::move(told).Finish();
    unwritten_ += '\n';
  }
  WriteSome();
}

// A reader that is too slow must not stop this thread: no more is written than
// a pipe is sure to take when it is ready.
void structured_log::WriteSome() {
  constexpr std::size_t kSurePipeBytes = 4096;
  while (!unwritten_.empty()) {
    pollfd asked{settings_.descriptor, POLLOUT, 0};
    if (::poll(&asked, 1, 0) != 1 || (asked.revents & POLLOUT) == 0) {
      return;
    }
    const std::size_t count = std::min(unwritten_.size(), kSurePipeBytes);
    const auto written =
        ::write(settings_.descriptor, unwritten_.data(), count);
    if (written <= 0) {
      // Nobody reads the log any more; its lines can go nowhere.
      unwritten_.clear();
      return;
    }
    unwritten_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace wagtailmount
