#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "LibBase/clock.h"
#include "LibConfig/configuration.h"
#include "LibRouting/request_kind.h"

namespace wagtailmount {

/// The place of a request among those that wait for their start at one owner,
/// in ascending order.
struct line_place {
  /// Of a kind that is below its floor; see served_shares.
  bool is_ordinary = true;
  request_priority rank = request_priority::kInteractive;
  /// Misses its objective even if it starts at once.
  bool is_late = false;
  /// On time: when it must start at the latest. Late: the work that it needs.
  duration order{};
  std::uint64_t id = 0;  ///< Of arrival.

  auto operator<=>(const line_place&) const = default;
};

/// A request that waits for its start at its owner.
struct waiting_request {
  std::uint64_t id = 0;
  request_priority rank = request_priority::kInteractive;
  request_kind kind = kUnknownKind;
  time_point deadline;
  time_point start_by;      ///< No later start is of use.
  duration longest_wait{};  ///< From its arrival.
  duration work{};          ///< Expected time once started.
};

/// The requests that wait for their start at one owner. The one that must start
/// soonest is first; what is given up is what costs callers least for the room
/// that it frees: the later rank, the late, the longest work, the newest.
///
/// Handles these load patterns:
/// - short work behind long work in one rank: whoever has less time left goes
///   first;
/// - more requests on time than fit: the fewest are given up, as in the rule of
///   Moore and Hodgson.
class waiting_line {
 public:
  using entries = std::map<line_place, waiting_request>;

  bool IsEmpty() const { return entries_.empty(); }
  std::size_t Size() const { return entries_.size(); }
  const entries& Entries() const { return entries_; }

  void Add(const line_place& place, const waiting_request& request) {
    entries_.emplace(place, request);
  }

  /// Removes the first request and returns it with its place.
  entries::value_type TakeFirst();

  /// Removes the requests for which `is_wanted` holds and returns them in
  /// order.
  std::vector<entries::value_type> TakeIf(
      const std::function<bool(const entries::value_type&)>& is_wanted);

  /// The work of the requests ahead of `place`.
  duration WorkAhead(const line_place& place) const;
  std::size_t CountAhead(const line_place& place) const;

  /// Makes room in a full line for a request: takes out the one whose refusal
  /// costs callers least, nothing if that is the new one itself.
  std::optional<entries::value_type> TakeCheaperThan(
      const line_place& place, const waiting_request& request);

  /// The request of the rank of `request` ahead of it whose refusal costs
  /// callers least, if it needs much more work.
  std::optional<line_place> LongerWorkAhead(
      const line_place& place, const waiting_request& request) const;

  /// With the new request in the line, finds the first one that would start too
  /// late even if a slot of `slots` is freed at once, where later arrivals
  /// leave `share_left` of the room. Returns the place of the request to give
  /// up for it, which may be the new one: the longest work among those of its
  /// rank that start before it, and itself. Nothing if all start in time.
  std::optional<line_place> CheapestInTheWay(time_point now,
                                             std::size_t slots) const;

  void Remove(const line_place& place) { entries_.erase(place); }

 private:
  entries entries_;
};

}  // namespace wagtailmount
