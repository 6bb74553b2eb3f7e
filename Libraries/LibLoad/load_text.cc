#include "LibLoad/load_text.h"

#include <algorithm>
#include <array>
#include <limits>

#include "LibLoad/number_list.h"

namespace wagtailmount {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

/// No real load has a greater number: in microseconds, it is over an hour.
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::uint32_t>::max();

}  // namespace

std::string FormatLoad(const owner_load& load) {
  std::string text =
      std::to_string(duration_cast<microseconds>(load.wait).count());
  text += ' ';
  text += std::to_string(duration_cast<microseconds>(load.service).count());
  text += ' ';
  text += std::to_string(load.slots);
  text += ' ';
  text += std::to_string(duration_cast<microseconds>(load.held).count());
  return text;
}

std::optional<owner_load> ParseLoad(std::string_view text) {
  std::array<std::uint64_t, 4> numbers{};
  const bool is_readable = ParseNumberList(text, numbers);
  const bool is_in_range =
      *std::max_element(numbers.begin(), numbers.end()) <= kMaxNumber;
  if (!is_readable || !is_in_range) {
    return std::nullopt;
  }
  return owner_load{microseconds{numbers[0]}, microseconds{numbers[1]},
                    static_cast<std::uint32_t>(numbers[2]),
                    microseconds{numbers[3]}};
}

}  // namespace wagtailmount
