#include "LibTraffic/hop_text.h"

#include <algorithm>
#include <array>
#include <limits>

#include "LibTraffic/header_fields.h"

namespace wagtailmount::detail {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMinimumParts = 5;
constexpr std::size_t kMaximumParts = 6;
// One hour, far above the timeout of any route.
constexpr std::uint64_t kMaximumTimeMs = 3'600'000;
constexpr std::uint64_t kMaximumRank = 255;
constexpr std::uint64_t kMaximumAttempt = 1'000;

milliseconds LimitedTime(std::uint64_t stated_ms) {
  return milliseconds{std::min(stated_ms, kMaximumTimeMs)};
}

}  // namespace

std::string FormatHopParameters(const hop_parameters& parameters) {
  std::string text{parameters.vm};
  text += ' ';
  text += parameters.service;
  text += ' ';
  text +=
      std::to_string(std::max<std::int64_t>(0, parameters.time_left.count()));
  text += ' ';
  text += std::to_string(static_cast<unsigned>(parameters.rank));
  text += ' ';
  text += std::to_string(parameters.attempt);
  if (parameters.objective_left) {
    text += ' ';
    text += std::to_string(
        std::max<std::int64_t>(0, parameters.objective_left->count()));
  }
  return text;
}

std::optional<hop_parameters> ParseHopParameters(std::string_view text) {
  std::array<std::string_view, kMaximumParts> parts;
  std::size_t count = 0;
  for (bool is_last = false; !is_last; ++count) {
    if (count == kMaximumParts) {
      return std::nullopt;
    }
    const std::size_t end = text.find(' ');
    is_last = end == std::string_view::npos;
    parts[count] = text.substr(0, end);
    text.remove_prefix(is_last ? text.size() : end + 1);
  }
  if (count < kMinimumParts || parts[0].empty() || parts[1].empty()) {
    return std::nullopt;
  }
  const auto left = ParseNumber(parts[2]);
  const auto rank = ParseNumber(parts[3]);
  const auto attempt = ParseNumber(parts[4]);
  if (!left || !rank || !attempt) {
    return std::nullopt;
  }
  hop_parameters parameters{
      .vm = parts[0],
      .service = parts[1],
      .time_left = LimitedTime(*left),
      .rank = static_cast<request_priority>(std::min(*rank, kMaximumRank)),
      .attempt =
          static_cast<std::uint32_t>(std::min(*attempt, kMaximumAttempt)),
      .objective_left = std::nullopt};
  if (count == kMaximumParts) {
    const auto objective = ParseNumber(parts[5]);
    if (!objective) {
      return std::nullopt;
    }
    parameters.objective_left = LimitedTime(*objective);
  }
  return parameters;
}

request_kind ParseKind(std::string_view text) {
  const auto number = ParseNumber(text);
  return number && *number <= std::numeric_limits<request_kind>::max()
             ? static_cast<request_kind>(*number)
             : kUnknownKind;
}

}  // namespace wagtailmount::detail
