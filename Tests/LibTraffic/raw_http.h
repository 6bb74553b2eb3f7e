#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

#include "LibBase/endpoint.h"

/// HTTP/1.1 on plain blocking sockets, for a server that may break the
/// protocol.
namespace wagtailmount::testing {

sockaddr_in AddressOf(const endpoint& target);

/// Sends all of `text`; false when the connection fails.
bool SendAll(int socket, std::string_view text);

/// Appends what arrives next to `into`; false when the connection ends.
bool ReceiveSome(int socket, std::string& into);

/// The value of a header field; empty if it is absent. The name's case must
/// match.
std::string HeaderValue(const std::string& head, const std::string& name);

/// Reads a body with a Content-Length or in chunks; nullopt if the connection
/// closes before its end. `unread` holds what was received and not yet used.
std::optional<std::string> ReadBody(int socket, const std::string& head,
                                    std::string& unread);

/// Lets the close of `socket` reset its connection.
void ResetOnClose(int socket);

}  // namespace wagtailmount::testing
