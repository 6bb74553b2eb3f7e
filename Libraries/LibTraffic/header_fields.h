#pragma once

#include <boost/optional.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "LibConfig/configuration.h"
#include "LibTraffic/http_types.h"

/// Names of the project's own header fields, and the choice of the fields that
/// are forwarded.
namespace wagtailmount::detail {

inline constexpr std::string_view kVerdictField = "Wagtailmount-Verdict";
inline constexpr std::string_view kReasonField = "Wagtailmount-Reason";
/// In requests to an owner: hop_parameters as FormatHopParameters() formats
/// them.
inline constexpr std::string_view kHopField = "Wagtailmount-Hop";
/// In requests to an owner: the kind of the request, as a number.
inline constexpr std::string_view kKindField = "Wagtailmount-Kind";
/// In an owner's answers: its reported load, as FormatLoad() formats it.
inline constexpr std::string_view kLoadField = "Wagtailmount-Load";
/// In an owner's answers: StatedTime() of its clock.
inline constexpr std::string_view kClockField = "Wagtailmount-Clock";
/// In requests to an owner whose clock is known: the deadline on that clock.
inline constexpr std::string_view kOwnerDeadlineField =
    "Wagtailmount-Owner-Deadline";
/// In requests to an owner: the rate limit that its backend server named in the
/// last answer that the sender got from it.
inline constexpr std::string_view kRateLimitField =
    "Wagtailmount-Backend-Rate-Limit";
/// In refusals: part of the request was sent to the backend server.
inline constexpr std::string_view kArrivedField = "Wagtailmount-Arrived";
/// In requests to an owner and its answers: the crashes that are known under
/// the request, as FormatCrashReports() formats them.
inline constexpr std::string_view kCrashesField = "Wagtailmount-Crashes";
/// In refusals: the backend server states in its answers that it leaves.
inline constexpr std::string_view kBackendLeavingField =
    "Wagtailmount-Backend-Leaving";
/// In an answer to no request, with which an owner closes an idle connection:
/// it has not read a request that crosses it, and never will.
inline constexpr std::string_view kClosingField = "Wagtailmount-Closing";
/// In the go-ahead for a large body: how many bytes a second its sender may
/// send; missing if that is not bounded.
inline constexpr std::string_view kBodyRateField = "Wagtailmount-Body-Rate";
inline constexpr std::string_view kRequestIdField = "X-Request-Id";

/// Conversions to and from the string_view type of Boost.Beast.
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

/// Whether the status is 500 or above.
inline bool IsServerError(const http_response& message) {
  constexpr unsigned kFirstServerError = 500;
  return message.result_int() >= kFirstServerError;
}

/// Parses an unsigned decimal integer; nothing if the text is anything else.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

/// Parses a time in milliseconds, which may have a fraction; returns the whole
/// ones.
std::optional<std::uint64_t> ParseMilliseconds(std::string_view text);

/// Removes the hop-by-hop fields (RFC 9110, 7.6.1) and the project's own
/// fields, which begin with "Wagtailmount-".
void RemoveHopByHopAndProjectFields(http::fields& fields);

/// Removes the hop-by-hop fields (RFC 9110, 7.6.1).
void RemoveHopByHopFields(http::fields& fields);

}  // namespace wagtailmount::detail
