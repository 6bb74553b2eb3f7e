#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wagtailmount::detail {

/// Identifies a request in the line of its connection.
using line_ticket = std::uint64_t;

/// Bounds of what one connection has read and not yet answered.
struct line_limits {
  /// Twice the depth that HTTP clients are known to use.
  std::size_t requests = 16;
  /// Of answers that wait for their turn: four of the longest that are held
  /// whole.
  std::size_t waiting_bytes = std::size_t{256} * 1024;
};

/// The requests of one connection that were read and not yet answered, in the
/// order in which they were sent: decides whether another may be read, whose
/// answer goes out next, and what is cancelled when the connection ends.
class answer_order {
 public:
  answer_order() = default;
  explicit answer_order(line_limits limits) : limits_(limits) {}

  /// Adds a request behind all others. Nothing may be read behind it until
  /// AllowBehind().
  line_ticket Add();

  /// States that the request may be repeated, has arrived whole and leaves the
  /// connection open, so that others may be served beside it.
  void AllowBehind(line_ticket ticket);

  /// Takes that back, for its answer is too long to be held whole: one that
  /// breaks off ends the connection.
  void ForbidBehind(line_ticket ticket);

  /// How much more of answers the line may hold.
  std::size_t HoldableBytes() const;

  /// Whether one more request may be read behind those in the line. False for
  /// an empty line: its next request is not served beside any other.
  bool MayRead() const;

  bool IsEmpty() const { return line_.empty(); }
  /// Whether the answer to the request is the next to go out.
  bool IsFirst(line_ticket ticket) const;
  /// False once the request was answered or cancelled.
  bool Has(line_ticket ticket) const;
  /// Whether another request in the line was sent after this one.
  bool HasBehind(line_ticket ticket) const;
  /// The ticket of the first request. The line must not be empty.
  line_ticket First() const { return line_.front().ticket; }

  /// States that an answer of `bytes` waits for its turn.
  void SetWaiting(line_ticket ticket, std::size_t bytes);

  /// Ends reading for good: the next answer says that the connection closes.
  void EndReading() { is_reading_ended_ = true; }

  /// Ends the first request after its answer, which left the connection open or
  /// not. Otherwise the rest of the line is cancelled; returns how many were.
  std::size_t RemoveFirst(bool is_open);

  /// Cancels all requests but the first, which may still get its answer, and
  /// ends reading; returns how many were cancelled.
  std::size_t CancelBehindFirst();

 private:
  struct member {
    line_ticket ticket = 0;
    bool allows_behind = false;
    std::size_t waiting_bytes = 0;
  };

  const member* Find(line_ticket ticket) const;
  member* Find(line_ticket ticket);

  line_limits limits_;
  std::vector<member> line_;
  std::size_t waiting_bytes_ = 0;
  line_ticket next_ = 1;
  bool is_reading_ended_ = false;
};

}  // namespace wagtailmount::detail
