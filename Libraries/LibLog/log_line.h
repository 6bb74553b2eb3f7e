#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailmount {

/// One line of the structured log, a JSON object: what happened, the facts that
/// it went by, and the outcome.
class log_line {
 public:
  /// `event` is a word that never changes, as "request-ended".
  explicit log_line(std::string_view event);

  log_line& Text(std::string_view name, std::string_view value);
  log_line& Number(std::string_view name, std::int64_t value);
  log_line& Flag(std::string_view name, bool value);

  /// The object, complete but for the end of line.
  std::string Finish() &&;

 private:
  void AddName(std::string_view name);

  std::string written_;
};

}  // namespace wagtailmount
