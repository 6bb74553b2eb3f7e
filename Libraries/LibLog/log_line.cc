#include "LibLog/log_line.h"

#include <utility>

namespace wagtailmount {

namespace {

void AppendQuoted(std::string& target, std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  target += '"';
  for (const char letter : text) {
    const auto byte = static_cast<unsigned char>(letter);
    if (letter == '"' || letter == '\\') {
      target += '\\';
      target += letter;
    } else if (byte < ' ' || byte >= 0x7f) {
      // Names and ids are ASCII; other bytes are shown one by one.
      target += "\\u00";
      target += kDigits[byte >> 4U];
      target += kDigits[byte & 0xfU];
    } else {
      target += letter;
    }
  }
  target += '"';
}

}  // namespace

log_line::log_line(std::string_view event) {
  written_ = "{\"event\":";
  AppendQuoted(written_, event);
}

void log_line::AddName(std::string_view name) {
  written_ += ',';
  AppendQuoted(written_, name);
  written_ += ':';
}

log_line& log_line::Text(std::string_view name, std::string_view value) {
  AddName(name);
  AppendQuoted(written_, value);
  return *this;
}

log_line& log_line::Number(std::string_view name, std::int64_t value) {
  AddName(name);
  written_ += std::to_string(value);
  return *this;
}

log_line& log_line::Flag(std::string_view name, bool value) {
  AddName(name);
  written_ += value ? "true" : "false";
  return *this;
}

std::string log_line::Finish() && {
  written_ += '}';
  return std::move(written_);
}

}  // namespace wagtailmount
