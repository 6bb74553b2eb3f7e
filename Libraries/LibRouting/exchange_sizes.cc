#include "LibRouting/exchange_sizes.h"

namespace wagtailmount {

namespace {

// The weight of the newest answer in the mean, as a divisor.
constexpr double kNewestWeight = 16.0;
// Routes that are remembered at one time; more are forgotten all together.
constexpr std::size_t kMostRoutes = 4096;

}  // namespace

std::size_t exchange_sizes::ExpectedAnswer(std::string_view route) const {
  const auto found = mean_of_route_.find(route);
  return found == mean_of_route_.end()
             ? 0
             : static_cast<std::size_t>(found->second);
}

void exchange_sizes::Learn(std::string_view route, std::size_t answer_bytes) {
  const auto bytes = static_cast<double>(answer_bytes);
  const auto found = mean_of_route_.find(route);
  if (found != mean_of_route_.end()) {
    found->second += (bytes - found->second) / kNewestWeight;
    return;
  }
  if (mean_of_route_.size() >= kMostRoutes) {
    mean_of_route_.clear();
  }
  mean_of_route_.emplace(route, bytes);
}

}  // namespace wagtailmount
