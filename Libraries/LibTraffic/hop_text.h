#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibConfig/configuration.h"

namespace wagtailmount::detail {

/// What the node that asks tells the owner of the chosen upstream beside the
/// request itself. One header field carries all of it: bytes between failure
/// domains are dear.
struct hop_note {
  std::string_view vm;       ///< Whose owner is meant.
  std::string_view service;  ///< Which it is believed to serve.
  std::chrono::milliseconds time_left{};
  request_priority rank = request_priority::kInteractive;
  std::uint32_t attempt = 1;
  /// Until the answer loses its full worth; missing when not told.
  std::optional<std::chrono::milliseconds> objective_left;
};

/// As the header field carries it: "VM SERVICE MS RANK ATTEMPT [MS]".
std::string HopText(const hop_note& note);

/// Nothing for text of another form. Times are cut to an hour, ranks to 255.
std::optional<hop_note> ParseHop(std::string_view text);

}  // namespace wagtailmount::detail
