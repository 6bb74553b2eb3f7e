#include "LibTraffic/header_fields.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <string>
#include <vector>

namespace wagtailmount::detail {

namespace {

constexpr std::string_view kProjectFieldPrefix = "Wagtailmount-";

constexpr std::array<http::field, 9> kHopByHopFields{
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_connection,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
};

bool IsProjectField(boost::beast::string_view name) {
  return name.size() >= kProjectFieldPrefix.size() &&
         boost::beast::iequals(name.substr(0, kProjectFieldPrefix.size()),
                               ToBoost(kProjectFieldPrefix));
}

// The entries of the Connection field: names of hop-by-hop fields, and the
// options "close" and "keep-alive".
std::vector<std::string> ListConnectionOptions(const http::fields& fields) {
  std::vector<std::string> names;
  const auto range = fields.equal_range(http::field::connection);
  for (auto entry = range.first; entry != range.second; ++entry) {
    for (const auto& token : http::token_list{entry->value()}) {
      names.emplace_back(token);
    }
  }
  return names;
}

}  // namespace

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, status] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (status != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::uint64_t> ParseMilliseconds(std::string_view text) {
  constexpr double kLongest = 1e15;
  double value = 0.0;
  const auto [end, status] = std::from_chars(
      text.data(), text.data() + text.size(), value, std::chars_format::fixed);
  // The comparison is false for NaN too.
  const bool is_valid =
      status == std::errc{} && end == text.data() + text.size() && value >= 0.0;
  return is_valid ? std::optional{static_cast<std::uint64_t>(
                        std::min(value, kLongest))}
                  : std::nullopt;
}

void RemoveHopByHopFields(http::fields& fields) {
  if (fields.find(http::field::connection) != fields.end()) {
    for (const std::string& name : ListConnectionOptions(fields)) {
      // A peer must not remove the fields that delimit and address the message.
      const auto known = http::string_to_field(name);
      if (known != http::field::content_length && known != http::field::host) {
        fields.erase(name);
      }
    }
  }
  for (const http::field name : kHopByHopFields) {
    fields.erase(name);
  }
}

void RemoveHopByHopAndProjectFields(http::fields& fields) {
  RemoveHopByHopFields(fields);
  for (auto entry = fields.begin(); entry != fields.end();) {
    entry =
        IsProjectField(entry->name_string()) ? fields.erase(entry) : ++entry;
  }
}

}  // namespace wagtailmount::detail
