#pragma once

#include <string_view>

namespace wagtailmount {

/// Header fields by which callers and backend servers exchange information
/// about a request, and how answers may end. The defaults are the project's own
/// interface, described in docs/REQUESTS.md. All names must outlive the traffic
/// server. An empty name disables the field.
struct request_fields {
  /// From callers: how many milliseconds they will wait.
  std::string_view caller_deadline = "Wagtailmount-Deadline-Ms";
  /// To backend servers: how many milliseconds are left.
  std::string_view backend_deadline = "X-Deadline-Ms";
  /// In a backend server's answer: it has not run the request.
  std::string_view not_run = "X-Not-Run";
  /// To backend servers: the id of the backend server instance that the request
  /// is meant for. Any other instance refuses it.
  std::string_view expected_backend_server;
  /// To backend servers: the service of the VM at which the request entered.
  std::string_view caller_service;
  /// In a backend server's answer: proves that the backend server sent it. A
  /// success without it is treated as malformed.
  std::string_view proof_of_origin;
  /// In a backend server's answer: how many requests a second it takes from all
  /// nodes together, for as long as its answers say so.
  std::string_view rate_limit = "X-Backend-Rate-Limit";
  /// In a backend server's answer: it leaves, and is to be given no new work.
  /// Takes effect only where backend servers have ids, since these tell one
  /// start of a backend server from the next.
  std::string_view leaving = "X-Backend-Leaving";
  /// In a backend server's health answer: how many milliseconds it stays cold.
  std::string_view cold_time;
  /// Whether a backend server's answer may have no length and end when the
  /// connection is closed. A reset counts as truncation.
  bool may_end_with_connection = false;
  /// Whether backend servers state the request's id in each answer. On a kept
  /// connection, an answer without it is then taken for a repeated one.
  bool states_request_id = false;
};

}  // namespace wagtailmount
