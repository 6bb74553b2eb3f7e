#include "LibLoad/number_list.h"

#include <charconv>

namespace wagtailmount {

bool ParseNumberList(std::string_view text, std::span<std::uint64_t> numbers) {
  const char* at = text.data();
  const char* const end = text.data() + text.size();
  bool is_first = true;
  for (std::uint64_t& number : numbers) {
    if (!is_first && (at == end || *at++ != ' ')) {
      return false;
    }
    is_first = false;
    const auto [after, status] = std::from_chars(at, end, number);
    if (status != std::errc{}) {
      return false;
    }
    at = after;
  }
  return at == end;
}

}  // namespace wagtailmount
