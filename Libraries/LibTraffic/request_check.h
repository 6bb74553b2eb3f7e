#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "LibTraffic/http_types.h"

/// Validates requests. Whatever two HTTP implementations could interpret
/// differently is rejected.
namespace wagtailmount::detail {

/// How an invalid request is answered.
struct request_fault {
  unsigned status = 400;
  std::string_view reason;  ///< Value of kReasonField; a string literal.
};

/// Validates a header section that the parser has accepted; nothing if valid.
std::optional<request_fault> ValidateRequest(const http_request_parser& parser);

/// How an error of the parser is answered; nothing if the connection was lost,
/// since no answer can be sent.
std::optional<request_fault> FaultOfParserError(error_code failure);

/// The path of a request target, without its query.
std::string_view PathOf(std::string_view target);

/// The host of a Host field in lower case, without its port.
std::string HostOf(std::string_view field);

}  // namespace wagtailmount::detail
