#pragma once

#include <boost/optional.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "LibConfig/configuration.h"
#include "LibTraffic/http_types.h"

/// Which header fields pass from one side to the other, and the names of the
/// project's own.
namespace wagtailmount::detail {

inline constexpr std::string_view kVerdictField = "Wagtailmount-Verdict";
inline constexpr std::string_view kReasonField = "Wagtailmount-Reason";
/// In a request to an owner: what HopText() writes.
inline constexpr std::string_view kHopField = "Wagtailmount-Hop";
/// In an owner's answers: its load, as FormatLoad() writes it.
inline constexpr std::string_view kLoadField = "Wagtailmount-Load";
/// In a refusal: some of the request was sent to the backend server.
inline constexpr std::string_view kArrivedField = "Wagtailmount-Arrived";
inline constexpr std::string_view kRequestIdField = "X-Request-Id";

/// For Boost's functions, which take a string_view of their own.
inline boost::beast::string_view ToBoost(std::string_view text) {
  return {text.data(), text.size()};
}
inline std::string_view ToStandard(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// The value of field `name`; empty when there is none.
inline std::string_view FieldOf(const http::fields& fields,
                                std::string_view name) {
  const auto found = fields.find(ToBoost(name));
  return found == fields.end() ? std::string_view{}
                               : ToStandard(found->value());
}

inline void SetField(http::fields& fields, std::string_view name,
                     std::string_view value) {
  fields.set(ToBoost(name), ToBoost(value));
}

inline bool IsSuccess(const http_response& message) {
  return http::to_status_class(message.result()) ==
         http::status_class::successful;
}

/// Whether the status says that the server failed.
inline bool IsServerError(const http_response& message) {
  constexpr unsigned kFirstServerError = 500;
  return message.result_int() >= kFirstServerError;
}

/// Reads a whole number without sign.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

/// Removes the fields that belong to one connection only (RFC 9110, 7.6.1) and
/// every field of the project's own.
void RemoveConnectionAndOwnFields(http::fields& fields);

/// Removes the fields that belong to one connection only.
void RemoveConnectionFields(http::fields& fields);

}  // namespace wagtailmount::detail
