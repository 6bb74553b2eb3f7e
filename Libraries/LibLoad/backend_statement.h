#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wagtailmount {

/// What a backend server states about itself in the header of an answer.
struct backend_statement {
  /// How many requests a second it takes from all nodes together; none if it
  /// names no limit.
  std::optional<double> rate_limit;
  /// It names a limit that is not a decimal number; nothing is known by it.
  bool is_rate_limit_malformed = false;
  /// It ends soon and is to be given no new work.
  bool is_leaving = false;
  /// Its answer is proved to be its own, so that what it leaves out counts.
  bool is_complete = false;
};

/// Parses a rate limit, a decimal number of requests a second from 0 to a
/// billion; nothing if it is malformed.
std::optional<double> ParseRateLimit(std::string_view text);

/// Formats a rate limit as ParseRateLimit() reads it.
std::string FormatRateLimit(double requests_a_second);

/// Whether the value of a header field that is a flag says yes: it is neither
/// empty nor "0" nor "false".
bool IsFlagSet(std::string_view text);

}  // namespace wagtailmount
