#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibConfig/configuration.h"
#include "LibRouting/request_kind.h"

namespace wagtailmount::detail {

/// What an entry node sends to the chosen upstream's owner in addition to the
/// request. One header field carries all of it, because traffic between failure
/// domains is expensive.
struct hop_parameters {
  std::string_view vm;       ///< VM of the chosen upstream.
  std::string_view service;  ///< Service that this VM is believed to run.
  std::chrono::milliseconds time_left{};
  request_priority rank = request_priority::kInteractive;
  std::uint32_t attempt = 1;
  /// Time left until the latency objective; missing when there is none.
  std::optional<std::chrono::milliseconds> objective_left;
};

/// Formats the value of the header field: "VM SERVICE MS RANK ATTEMPT [MS]".
std::string FormatHopParameters(const hop_parameters& parameters);

/// Parses the value of the header field; nothing if it is malformed. Times
/// above an hour, ranks above 255 and attempts above 1000 are reduced to these
/// limits.
std::optional<hop_parameters> ParseHopParameters(std::string_view text);

/// Parses the number of the request's kind, which is a field of its own,
/// because nodes of earlier versions refuse further parameters; kUnknownKind if
/// missing or malformed.
request_kind ParseKind(std::string_view text);

}  // namespace wagtailmount::detail
