#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailmount {

/// How long a caller has waited already when a request of it arrives. Callers
/// that come back after a refusal tell the time they have left, which is less
/// than the others of their route tell.
///
/// Answers the load pattern of refused callers that come back: they are told
/// from fresh ones, though nothing marks them.
class caller_patience {
 public:
  /// The time that a caller of `route` has waited, if it has `left` now.
  std::chrono::milliseconds WaitedBefore(std::string_view route,
                                         std::chrono::milliseconds left);

 private:
  std::map<std::string, std::chrono::milliseconds, std::less<>> longest_;
};

}  // namespace wagtailmount
