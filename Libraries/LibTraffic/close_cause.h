#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wagtailmount {

/// Why a caller's connection was closed.
enum class close_cause : std::uint8_t {
  kIdle,      ///< It was idle for longer than callers may rely on.
  kStop,      ///< It was idle when this process stopped.
  kAnswered,  ///< Its last answer said that it closes.
  kFailed,    ///< It broke, or a request on it got no whole answer.
};
inline constexpr std::size_t kCloseCauses = 4;

/// Why a request that was read got no whole answer.
enum class cut_cause : std::uint8_t {
  kCallerLeft,   ///< Its caller closed the connection.
  kRequestLost,  ///< It did not arrive whole.
  kAnswerLost,   ///< Its answer broke off while it was passed on.
  kAnswerLate,   ///< Its answer was not sent, or not read, in time.
  kBehind,       ///< A request before it ended their connection.
};
inline constexpr std::size_t kCutCauses = 5;

/// Names as in metrics and the log, such as "answer-late".
std::string_view NameOf(close_cause cause);
std::string_view NameOf(cut_cause cause);

/// A number for each cause, by its value.
using close_counts = std::array<std::uint64_t, kCloseCauses>;
using cut_counts = std::array<std::uint64_t, kCutCauses>;

}  // namespace wagtailmount
