#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace wagtailmount {

/// Moving averages of the answer sizes on each route of one service.
class exchange_sizes {
 public:
  /// Returns the average body size in bytes of the answers on `route`, or 0
  /// before the first one.
  std::size_t ExpectedAnswerBytes(std::string_view route) const;

  /// Adds the body size of one answer on `route` to its average.
  void Learn(std::string_view route, std::size_t answer_bytes);

 private:
  std::map<std::string, double, std::less<>> mean_bytes_by_route_;
};

}  // namespace wagtailmount
