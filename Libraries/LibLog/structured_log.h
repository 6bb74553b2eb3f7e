#pragma once

#include <oneapi/tbb/concurrent_queue.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

#include "LibBase/clock.h"
#include "LibLog/log_line.h"

namespace wagtailmount {

/// Takes lines from any thread and writes them to a descriptor from one. Adding
/// never blocks: what finds the queue full, or is over the rate, is dropped and
/// counted, and the count is written once there is room.
class structured_log {
 public:
  struct settings {
    int descriptor = 1;          ///< Standard output.
    std::size_t capacity = 512;  ///< Lines that wait.
    std::size_t lines_a_second = 200;
    std::size_t bytes_a_flush = std::size_t{32} * 1024;
  };

  structured_log(settings chosen, const runtime_clock& clock);

  /// From any thread.
  void Add(log_line line);

  /// Writes what waits, as far as the descriptor takes it at once. One thread.
  void Flush();

  std::uint64_t Dropped() const { return dropped_.load(); }

 private:
  void WriteSome();

  settings settings_;
  const runtime_clock& clock_;
  oneapi::tbb::concurrent_bounded_queue<std::string> waiting_;
  std::atomic<std::uint64_t> dropped_{0};
  std::uint64_t dropped_told_ = 0;
  double allowance_ = 0;
  time_point refilled_at_{};
  std::string unwritten_;
};

}  // namespace wagtailmount
