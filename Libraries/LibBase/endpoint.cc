#include "LibBase/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <tuple>

namespace wagtailmount {

namespace {

constexpr unsigned kHighestPort = 65535;

tl::unexpected<error> Refuse(std::string_view text) {
  return Fail(
      error_kind::kInvalidInput,
      "\"" + std::string(text) +
          "\" is not an IP address and port, as 127.0.0.1:8080 or [::1]:8080");
}

}  // namespace

std::string endpoint::ToText() const {
  const bool is_version_6 = address.find(':') != std::string::npos;
  return (is_version_6 ? "[" + address + "]" : address) + ":" +
         std::to_string(port);
}

bool operator==(const endpoint& left, const endpoint& right) {
  return left.port == right.port && left.address == right.address;
}

bool operator!=(const endpoint& left, const endpoint& right) {
  return !(left == right);
}

bool operator<(const endpoint& left, const endpoint& right) {
  return std::tie(left.address, left.port) <
         std::tie(right.address, right.port);
}

result<endpoint> ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return Refuse(text);
  }
  std::string_view address = text.substr(0, colon);
  const bool is_bracketed =
      address.size() > 2 && address.front() == '[' && address.back() == ']';
  if (is_bracketed) {
    address = address.substr(1, address.size() - 2);
  }
  boost::system::error_code failure;
  const auto parsed =
      boost::asio::ip::make_address(std::string(address), failure);
  const std::string_view port_text = text.substr(colon + 1);
  unsigned port = 0;
  const auto [end, status] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  const bool has_port =
      status == std::errc{} && end == port_text.data() + port_text.size();
  if (failure || parsed.is_v6() != is_bracketed || !has_port || port == 0 ||
      port > kHighestPort) {
    return Refuse(text);
  }
  return endpoint{parsed.to_string(), static_cast<std::uint16_t>(port)};
}

}  // namespace wagtailmount
