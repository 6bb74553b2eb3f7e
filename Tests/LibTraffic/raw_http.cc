#include "Tests/LibTraffic/raw_http.h"

#include <arpa/inet.h>
#include <sys/socket.h>

namespace wagtailmount::testing {

sockaddr_in AddressOf(const endpoint& target) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(target.port);
  inet_pton(AF_INET, target.address.c_str(), &address.sin_addr);
  return address;
}

bool SendAll(int socket, std::string_view text) {
  while (!text.empty()) {
    const auto sent = ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool ReceiveSome(int socket, std::string& into) {
  char buffer[16384];
  const auto count = ::recv(socket, buffer, sizeof(buffer), 0);
  if (count <= 0) {
    return false;
  }
  into.append(buffer, static_cast<std::size_t>(count));
  return true;
}

std::string HeaderValue(const std::string& head, const std::string& name) {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::optional<std::string> ReadBody(int socket, const std::string& head,
                                    std::string& unread) {
  std::string body;
  if (HeaderValue(head, "Transfer-Encoding") == "chunked") {
    while (true) {
      while (unread.find("\r\n") == std::string::npos) {
        if (!ReceiveSome(socket, unread)) {
          return std::nullopt;
        }
      }
      const std::size_t size = std::stoul(unread, nullptr, 16);
      unread.erase(0, unread.find("\r\n") + 2);
      while (unread.size() < size + 2) {
        if (!ReceiveSome(socket, unread)) {
          return std::nullopt;
        }
      }
      body += unread.substr(0, size);
      unread.erase(0, size + 2);
      if (size == 0) {
        return body;
      }
    }
  }
  const std::string length_text = HeaderValue(head, "Content-Length");
  const std::size_t length = length_text.empty() ? 0 : std::stoul(length_text);
  while (unread.size() < length) {
    if (!ReceiveSome(socket, unread)) {
      return std::nullopt;
    }
  }
  body = unread.substr(0, length);
  unread.erase(0, length);
  return body;
}

void ResetOnClose(int socket) {
  const linger zero_timeout{1, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &zero_timeout,
               sizeof(zero_timeout));
}

}  // namespace wagtailmount::testing
