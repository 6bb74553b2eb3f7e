#pragma once

#include <cstdint>
#include <string_view>

#include "LibLoad/request_fingerprint.h"
#include "LibTraffic/http_message.h"

namespace wagtailmount::detail {

/// The request_fingerprint::head of a request. `caller_service` names the
/// header field of the caller's service; empty if there is none.
std::uint64_t HeadFingerprintOf(const outgoing_request& request,
                                std::string_view caller_service);

/// The fingerprint of a request. Of a body that is streamed, only what is
/// retained and the length count, for the rest is not known before the request
/// starts.
request_fingerprint FingerprintOf(const outgoing_request& request,
                                  std::string_view caller_service);

}  // namespace wagtailmount::detail
