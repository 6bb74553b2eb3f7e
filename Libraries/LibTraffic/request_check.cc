#include "LibTraffic/request_check.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>

#include "LibTraffic/header_fields.h"

namespace wagtailmount::detail {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kTargetTooLong = 414;
constexpr unsigned kExpectationFailed = 417;
constexpr unsigned kHeaderTooLarge = 431;
constexpr unsigned kNotImplemented = 501;
constexpr unsigned kVersionNotSupported = 505;
constexpr unsigned kHttpVersion11 = 11;
constexpr std::size_t kMaximumRequestIdBytes = 128;

std::size_t CountOf(const http::fields& fields, http::field name) {
  return fields.count(name);
}

bool IsVisible(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char letter) { return letter > ' ' && letter < 0x7f; });
}

// Finds dot segments, percent-encoded ones too. Routes match by path prefix,
// and a backend server that resolves dot segments could leave that prefix.
bool HasDotSegment(std::string_view path) {
  std::string plain;
  for (std::size_t at = 0; at < path.size(); ++at) {
    const auto code = path.substr(at, 3);
    if (boost::beast::iequals(ToBoost(code), "%2e")) {
      plain += '.';
      at += 2;
    } else if (boost::beast::iequals(ToBoost(code), "%2f")) {
      plain += '/';
      at += 2;
    } else {
      plain += path[at] == '\\' ? '/' : path[at];
    }
  }
  plain += '/';
  return plain.find("/./") != std::string::npos ||
         plain.find("/../") != std::string::npos;
}

bool HasEncodedNul(std::string_view path) {
  return path.find("%00") != std::string_view::npos;
}

std::optional<request_fault> CheckFraming(const http_request& request) {
  if (CountOf(request, http::field::host) != 1) {
    return request_fault{kBadRequest, "host-missing-or-repeated"};
  }
  const std::size_t lengths = CountOf(request, http::field::content_length);
  const std::size_t encodings =
      CountOf(request, http::field::transfer_encoding);
  if (lengths > 1 || lengths + encodings > 1) {
    return request_fault{kBadRequest, "ambiguous-length"};
  }
  // The parser accepts a list of equal lengths; other implementations may read
  // only the first.
  if (lengths == 1 &&
      !ParseNumber(ToStandard(request[http::field::content_length]))) {
    return request_fault{kBadRequest, "ambiguous-length"};
  }
  if (encodings == 1 &&
      !boost::beast::iequals(request[http::field::transfer_encoding],
                             "chunked")) {
    return request_fault{kNotImplemented, "transfer-encoding-not-supported"};
  }
  return std::nullopt;
}

std::optional<request_fault> CheckTarget(std::string_view target) {
  if (target.size() > kMaximumTargetBytes) {
    return request_fault{kTargetTooLong, "target-too-long"};
  }
  if (target.empty() || target.front() != '/' || !IsVisible(target) ||
      target.find('#') != std::string_view::npos) {
    return request_fault{kBadRequest, "target-not-a-path"};
  }
  const std::string_view path = PathOf(target);
  if (HasDotSegment(path) || HasEncodedNul(path)) {
    return request_fault{kBadRequest, "path-ambiguous"};
  }
  return std::nullopt;
}

std::optional<request_fault> CheckSupportedFeatures(
    const http_request& request) {
  if (request.method() == http::verb::connect ||
      CountOf(request, http::field::upgrade) > 0) {
    return request_fault{kNotImplemented, "upgrade-not-supported"};
  }
  const auto expected = request[http::field::expect];
  if (!expected.empty() && !boost::beast::iequals(expected, "100-continue")) {
    return request_fault{kExpectationFailed, "expectation-not-supported"};
  }
  const std::string_view id = FieldOf(request, kRequestIdField);
  if (id.size() > kMaximumRequestIdBytes || !IsVisible(id) ||
      request.count(ToBoost(kRequestIdField)) > 1) {
    return request_fault{kBadRequest, "bad-request-id"};
  }
  return std::nullopt;
}

}  // namespace

std::optional<request_fault> ValidateRequest(
    const http_request_parser& parser) {
  const http_request& request = parser.get();
  if (request.version() != kHttpVersion11) {
    return request_fault{kVersionNotSupported, "http-version-not-supported"};
  }
  if (auto fault = CheckSupportedFeatures(request)) {
    return fault;
  }
  if (auto fault = CheckFraming(request)) {
    return fault;
  }
  return CheckTarget(ToStandard(request.target()));
}

std::optional<request_fault> FaultOfParserError(error_code failure) {
  if (failure == boost::beast::error::timeout) {
    return request_fault{kRequestTimeout, "too-slow"};
  }
  if (failure == http::error::header_limit) {
    return request_fault{kHeaderTooLarge, "header-too-large"};
  }
  if (failure == http::error::body_limit) {
    return request_fault{kContentTooLarge, "body-too-large"};
  }
  const bool is_malformed =
      failure.category() == make_error_code(http::error::bad_status).category();
  if (is_malformed && failure != http::error::end_of_stream &&
      failure != http::error::partial_message) {
    return request_fault{kBadRequest, "malformed"};
  }
  return std::nullopt;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string HostOf(std::string_view field) {
  const auto colon = field.rfind(':');
  const auto bracket = field.rfind(']');
  const bool has_port = colon != std::string_view::npos &&
                        (bracket == std::string_view::npos || colon > bracket);
  std::string host{has_port ? field.substr(0, colon) : field};
  std::transform(host.begin(), host.end(), host.begin(), [](char letter) {
    return letter >= 'A' && letter <= 'Z'
               ? static_cast<char>(letter - 'A' + 'a')
               : letter;
  });
  return host;
}

}  // namespace wagtailmount::detail
