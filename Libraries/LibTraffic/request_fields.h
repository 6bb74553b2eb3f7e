#pragma once

#include <string_view>

namespace wagtailmount {

/// How callers and backend servers speak of a request: mostly header fields.
/// The defaults are the project's own interface, docs/REQUESTS.md. All names
/// must outlive the traffic server. An empty name: not spoken of.
struct request_fields {
  /// From callers: the milliseconds that they will wait.
  std::string_view caller_deadline = "Wagtailmount-Deadline-Ms";
  /// To backend servers: the milliseconds that are left.
  std::string_view backend_deadline = "X-Deadline-Ms";
  /// In a backend server's answer: it has not run the request.
  std::string_view not_run = "X-Not-Run";
  /// To backend servers: the id of the start that is meant. Another one refuses
  /// the request.
  std::string_view expected_backend_server;
  /// To backend servers: the service of the VM where the request began.
  std::string_view caller_service;
  /// In a backend server's answer: shows that it is the backend server's own.
  /// A success without it is none.
  std::string_view proof_of_origin;
  /// A backend server's answer may have no length and end with its connection;
  /// one that is reset is not whole.
  bool may_end_with_connection = false;
};

}  // namespace wagtailmount
