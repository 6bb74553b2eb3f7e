#include "LibLoad/caller_patience.h"

#include <algorithm>

namespace wagtailmount {

namespace {

/// Routes that are remembered at one time; more are forgotten all together.
constexpr std::size_t kMostRoutes = 4096;

}  // namespace

std::chrono::milliseconds caller_patience::WaitedBefore(
    std::string_view route, std::chrono::milliseconds left) {
  const auto found = longest_.find(route);
  if (found == longest_.end()) {
    if (longest_.size() >= kMostRoutes) {
      longest_.clear();
    }
    longest_.emplace(route, left);
    return std::chrono::milliseconds{0};
  }
  found->second = std::max(found->second, left);
  return found->second - left;
}

}  // namespace wagtailmount
