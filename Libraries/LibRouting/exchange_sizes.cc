#include "LibRouting/exchange_sizes.h"

namespace wagtailmount {

namespace {

// Weight of the newest answer in the moving average, as a divisor.
constexpr double kNewestWeight = 16.0;
// Bounds the memory: a route beyond this number first drops all the others.
constexpr std::size_t kMaxRoutes = 4096;

}  // namespace

std::size_t exchange_sizes::ExpectedAnswerBytes(std::string_view route) const {
  const auto found = mean_bytes_by_route_.find(route);
  return found == mean_bytes_by_route_.end()
             ? 0
             : static_cast<std::size_t>(found->second);
}

void exchange_sizes::Learn(std::string_view route, std::size_t answer_bytes) {
  const auto bytes = static_cast<double>(answer_bytes);
  const auto found = mean_bytes_by_route_.find(route);
  if (found != mean_bytes_by_route_.end()) {
    found->second += (bytes - found->second) / kNewestWeight;
    return;
  }
  if (mean_bytes_by_route_.size() >= kMaxRoutes) {
    mean_bytes_by_route_.clear();
  }
  mean_bytes_by_route_.emplace(route, bytes);
}

}  // namespace wagtailmount
