#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace wagtailmount {

/// How many bytes the answers on each route of one service have, as learned
/// from those that came.
class exchange_sizes {
 public:
  /// Bytes of an answer's body on `route`; 0 while none was seen.
  std::size_t ExpectedAnswer(std::string_view route) const;

  void Learn(std::string_view route, std::size_t answer_bytes);

 private:
  std::map<std::string, double, std::less<>> mean_of_route_;
};

}  // namespace wagtailmount
