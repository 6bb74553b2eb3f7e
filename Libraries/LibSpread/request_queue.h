#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "LibBase/clock.h"
#include "LibLink/message.h"

namespace wagtailmount {

/// A peer's request for a manifest or for files.
struct content_request {
  std::string peer_vm;
  std::variant<pull_message, files_request_message> wanted;
};

/// Rate-limits what this node serves to its peers, so that many nodes joining
/// at once cannot take more than `bytes_per_second`. Requests are served first
/// in, first out. Each peer has at most one waiting request of each kind; a
/// later one replaces it in place.
class request_queue {
 public:
  request_queue(std::uint64_t bytes_per_second, time_point now);

  /// Adds a request; true when it has to wait because the budget is used up.
  bool Add(time_point now, content_request request);

  /// Removes and returns the next request while there is budget left. The
  /// caller serves it and passes the size of the answer to Spend().
  std::optional<content_request> Next(time_point now);
  void Spend(std::uint64_t bytes);

  /// Drops the waiting requests of a peer that disconnected.
  void RemovePeer(std::string_view peer_vm);

  std::size_t Size() const { return waiting_.size(); }

 private:
  void Refill(time_point now);

  double bytes_per_second_;
  double budget_bytes_;
  time_point refilled_at_;
  std::deque<content_request> waiting_;
};

}  // namespace wagtailmount
