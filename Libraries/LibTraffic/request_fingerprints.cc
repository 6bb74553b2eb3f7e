#include "LibTraffic/request_fingerprints.h"

#include <string>

#include "LibTraffic/header_fields.h"

namespace wagtailmount::detail {

namespace {

// Each part ends with a byte that none of them can hold.
std::string HeadText(const outgoing_request& request,
                     std::string_view caller_service) {
  const http_request& message = request.message;
  std::string text;
  const auto add = [&text](std::string_view part) {
    text += part;
    text += '\0';
  };
  add(ToStandard(message.method_string()));
  add(ToStandard(message[http::field::host]));
  add(ToStandard(message.target()));
  add(caller_service.empty() ? std::string_view{}
                             : FieldOf(message, caller_service));
  return text;
}

}  // namespace

std::uint64_t HeadFingerprintOf(const outgoing_request& request,
                                std::string_view caller_service) {
  return HashOf(HeadText(request, caller_service));
}

request_fingerprint FingerprintOf(const outgoing_request& request,
                                  std::string_view caller_service) {
  std::string text = HeadText(request, caller_service);
  const std::uint64_t head = HashOf(text);
  if (request.remaining_body != nullptr) {
    text += ToStandard(request.message[http::field::content_length]);
  }
  text += '\0';
  text += std::string_view{request.body}.substr(0, kRetainedBodyBytes);
  return {head, DigestOf(text)};
}

}  // namespace wagtailmount::detail
