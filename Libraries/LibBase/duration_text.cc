#include "LibBase/duration_text.h"

#include <charconv>
#include <cmath>
#include <string>

namespace wagtailmount {

result<std::chrono::milliseconds> ParseDuration(std::string_view text) {
  constexpr double kMillisecondsASecond = 1000.0;
  constexpr double kMostMilliseconds = 24.0 * 3600.0 * kMillisecondsASecond;
  const auto fail = [text] {
    return Fail(error_kind::kInvalidInput,
                "\"" + std::string(text) + "\" is no time in ms or s");
  };
  double factor = 1.0;
  std::string_view number = text;
  if (text.ends_with("ms")) {
    number.remove_suffix(2);
  } else if (text.ends_with("s")) {
    number.remove_suffix(1);
    factor = kMillisecondsASecond;
  } else {
    return fail();
  }
  double value = 0.0;
  const auto [end, status] =
      std::from_chars(number.data(), number.data() + number.size(), value);
  const double milliseconds = value * factor;
  if (status != std::errc{} || end != number.data() + number.size() ||
      !(milliseconds >= 0.0) || milliseconds > kMostMilliseconds) {
    return fail();
  }
  return std::chrono::milliseconds{std::llround(milliseconds)};
}

}  // namespace wagtailmount
