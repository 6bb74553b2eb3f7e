#include "LibLoad/body_schedule.h"

#include <algorithm>
#include <chrono>

namespace wagtailmount {

namespace {

/// One piece takes this long at the rate of a body, and less on the link.
constexpr std::chrono::milliseconds kPieceTime{10};
/// Below this, the headers of the packets would outweigh the body.
constexpr std::uint64_t kMinimumPieceBytes = 1'024;
/// A body is taken to arrive this much later than its turn ends: senders sleep
/// between the pieces, and the go-ahead takes its time to reach them.
constexpr std::chrono::milliseconds kArrivalMargin{20};

duration TimeOf(std::uint64_t bytes, std::uint64_t bytes_a_second) {
  const double seconds =
      static_cast<double>(bytes) / static_cast<double>(bytes_a_second);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

std::optional<body_transfer> body_schedule::Reserve(time_point now,
                                                    std::uint64_t bytes,
                                                    time_point latest_begin,
                                                    time_point latest_end) {
  if (bytes_a_second_ == 0) {
    return body_transfer{now, latest_end, 0};
  }
  const std::lock_guard lock{mutex_};
  const time_point begin = std::max(now, free_at_);
  const time_point end = begin + TimeOf(bytes, bytes_a_second_);
  if (begin > latest_begin || end + kArrivalMargin > latest_end) {
    return std::nullopt;
  }
  free_at_ = end;
  return body_transfer{begin, end, bytes_a_second_};
}

void body_schedule::Release(time_point now, const body_transfer& transfer) {
  const std::lock_guard lock{mutex_};
  // The turns behind it, if any, are already promised.
  if (free_at_ == transfer.end) {
    free_at_ = std::clamp(now, transfer.begin, transfer.end);
  }
}

std::uint64_t PieceBytes(std::uint64_t bytes_a_second) {
  constexpr std::uint64_t kMillisecondsASecond = 1'000;
  return std::max<std::uint64_t>(
      kMinimumPieceBytes,
      bytes_a_second * kPieceTime.count() / kMillisecondsASecond);
}

}  // namespace wagtailmount
