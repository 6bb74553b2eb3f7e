#include "LibLoad/backend_statement.h"

#include <array>
#include <charconv>

namespace wagtailmount {

namespace {

/// No backend server serves as many requests a second.
constexpr double kMaximumRateLimit = 1e9;

}  // namespace

std::optional<double> ParseRateLimit(std::string_view text) {
  double value = 0.0;
  const char* const end = text.data() + text.size();
  const auto [after, status] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  // The comparison is false for NaN too.
  const bool is_valid = status == std::errc{} && after == end && value >= 0.0 &&
                        value <= kMaximumRateLimit;
  return is_valid ? std::optional{value} : std::nullopt;
}

std::string FormatRateLimit(double requests_a_second) {
  std::array<char, 64> buffer{};
  const auto [end, status] =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(),
                    requests_a_second, std::chars_format::fixed);
  return status == std::errc{} ? std::string{buffer.data(), end}
                               : std::string{};
}

bool IsFlagSet(std::string_view text) {
  return !text.empty() && text != "0" && text != "false";
}

}  // namespace wagtailmount
