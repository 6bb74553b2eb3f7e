#include "LibTraffic/hop_text.h"

#include <algorithm>
#include <array>

#include "LibTraffic/header_fields.h"

namespace wagtailmount::detail {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLeastParts = 5;
constexpr std::size_t kMostParts = 6;
// One hour, far above the timeout of any route.
constexpr std::uint64_t kLongestTimeMs = 3'600'000;
constexpr std::uint64_t kLastRank = 255;
constexpr std::uint64_t kMostAttempts = 1'000;

milliseconds TimeOf(std::uint64_t told) {
  return milliseconds{std::min(told, kLongestTimeMs)};
}

}  // namespace

std::string HopText(const hop_note& note) {
  std::string text{note.vm};
  text += ' ';
  text += note.service;
  text += ' ';
  text += std::to_string(std::max<std::int64_t>(0, note.time_left.count()));
  text += ' ';
  text += std::to_string(static_cast<unsigned>(note.rank));
  text += ' ';
  text += std::to_string(note.attempt);
  if (note.objective_left) {
    text += ' ';
    text +=
        std::to_string(std::max<std::int64_t>(0, note.objective_left->count()));
  }
  return text;
}

std::optional<hop_note> ParseHop(std::string_view text) {
  std::array<std::string_view, kMostParts> parts;
  std::size_t count = 0;
  for (bool is_last = false; !is_last; ++count) {
    if (count == kMostParts) {
      return std::nullopt;
    }
    const std::size_t end = text.find(' ');
    is_last = end == std::string_view::npos;
    parts[count] = text.substr(0, end);
    text.remove_prefix(is_last ? text.size() : end + 1);
  }
  if (count < kLeastParts || parts[0].empty() || parts[1].empty()) {
    return std::nullopt;
  }
  const auto left = ParseNumber(parts[2]);
  const auto rank = ParseNumber(parts[3]);
  const auto attempt = ParseNumber(parts[4]);
  if (!left || !rank || !attempt) {
    return std::nullopt;
  }
  hop_note note{
      .vm = parts[0],
      .service = parts[1],
      .time_left = TimeOf(*left),
      .rank = static_cast<request_priority>(std::min(*rank, kLastRank)),
      .attempt = static_cast<std::uint32_t>(std::min(*attempt, kMostAttempts)),
      .objective_left = std::nullopt};
  if (count == kMostParts) {
    const auto objective = ParseNumber(parts[5]);
    if (!objective) {
      return std::nullopt;
    }
    note.objective_left = TimeOf(*objective);
  }
  return note;
}

}  // namespace wagtailmount::detail
