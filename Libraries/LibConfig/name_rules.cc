#include "LibConfig/name_rules.h"

#include <algorithm>
#include <array>

#include "LibBase/text.h"
#include "LibConfig/config_limits.h"

namespace wagtailmount::detail {

namespace {

constexpr std::string_view kOwnFieldPrefix = "wagtailmount-";

constexpr std::array<std::string_view, 15> kReservedFields{
    "connection",
    "content-length",
    "expect",
    "host",
    "http2-settings",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-deadline-ms",
    "x-request-id"};

bool IsAlphanumeric(char character) {
  const char lower = LowerCaseOf(character);
  return (lower >= 'a' && lower <= 'z') ||
         (character >= '0' && character <= '9');
}

bool HoldsOnly(std::string_view text, std::string_view marks) {
  return std::all_of(text.begin(), text.end(), [marks](char character) {
    return IsAlphanumeric(character) ||
           marks.find(character) != std::string_view::npos;
  });
}

std::string LengthFault(std::size_t longest) {
  return "must have 1 to " + std::to_string(longest) + " characters";
}

std::string ToLowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), LowerCaseOf);
  return lower;
}

bool HasEmptyOrDotSegment(std::string_view prefix) {
  std::size_t begin = 1;
  while (begin <= prefix.size()) {
    const auto slash = std::min(prefix.find('/', begin), prefix.size());
    const std::string_view segment = prefix.substr(begin, slash - begin);
    if (segment.empty() || segment == "." || segment == "..") {
      return true;
    }
    begin = slash + 1;
  }
  return false;
}

}  // namespace

std::optional<std::string> FaultOfName(std::string_view name) {
  if (name.empty() || name.size() > kLongestNameBytes) {
    return LengthFault(kLongestNameBytes);
  }
  if (!HoldsOnly(name, "._-")) {
    return "may hold only letters, digits, \".\", \"_\" and \"-\"";
  }
  if (name == "." || name == "..") {
    return "is a name with a meaning of its own in folders";
  }
  return std::nullopt;
}

std::optional<std::string> FaultOfHost(std::string_view host) {
  if (host.empty() || host.size() > kLongestHostBytes) {
    return LengthFault(kLongestHostBytes);
  }
  if (host.find(':') != std::string_view::npos) {
    return "must be a host name without a port";
  }
  if (!HoldsOnly(host, ".-_") || ToLowerCase(host) != host) {
    return "must be a host name in lower case; leave it out to match any host";
  }
  return std::nullopt;
}

std::optional<std::string> FaultOfPathPrefix(std::string_view prefix) {
  if (prefix.empty() || prefix.size() > kLongestPrefixBytes) {
    return LengthFault(kLongestPrefixBytes);
  }
  if (prefix.front() != '/') {
    return "must begin with \"/\"";
  }
  if (!HoldsOnly(prefix, "/-._~!$&'()*+,;=:@")) {
    return "may hold only characters of a path that need no escape";
  }
  if (prefix.size() > 1 && HasEmptyOrDotSegment(prefix)) {
    return "must hold whole segments: none empty, none \".\" or \"..\", no "
           "\"/\" at the end";
  }
  return std::nullopt;
}

std::optional<std::string> FaultOfHeaderName(std::string_view name) {
  if (name.empty() || name.size() > kLongestNameBytes) {
    return LengthFault(kLongestNameBytes);
  }
  if (!HoldsOnly(name, "!#$%&'*+-.^_`|~")) {
    return "is not the name of a header field";
  }
  const std::string lower = ToLowerCase(name);
  const bool is_reserved =
      std::find(kReservedFields.begin(), kReservedFields.end(), lower) !=
      kReservedFields.end();
  if (is_reserved) {
    return "frames or directs the message itself, so a route must not set it";
  }
  if (lower.starts_with(kOwnFieldPrefix)) {
    return "is kept for wagtailmount itself";
  }
  return std::nullopt;
}

std::optional<std::string> FaultOfHeaderValue(std::string_view value) {
  if (value.size() > kLongestHeaderValueBytes) {
    return "must have at most " + std::to_string(kLongestHeaderValueBytes) +
           " characters";
  }
  const bool is_printable = std::all_of(
      value.begin(), value.end(),
      [](char character) { return character >= ' ' && character <= '~'; });
  const bool is_trimmed =
      value.empty() || (value.front() != ' ' && value.back() != ' ');
  if (!is_printable || !is_trimmed) {
    return "may hold only printable ASCII, without line ends or spaces around "
           "it";
  }
  return std::nullopt;
}

}  // namespace wagtailmount::detail
