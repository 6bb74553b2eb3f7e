#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "LibBase/endpoint.h"
#include "LibBase/error.h"

namespace wagtailmount {

/// One call of an operator.
struct admin_call {
  std::string_view method;  ///< "GET" or "POST".
  std::string_view path;    ///< Without the query.
  std::string_view query;   ///< After "?", may be empty.
};

struct admin_answer {
  unsigned status = 200;
  nlohmann::json body;
  std::string text{};  ///< If not empty, the body is this plain text.
};

/// The answer to a call that can't be taken: {"error": {"reason": ...}}.
admin_answer AdminError(unsigned status, std::string_view reason);

/// The whole number that `query` gives for `name`; `fallback` when it is
/// missing, an error when malformed.
result<std::uint64_t> QueryNumber(std::string_view query, std::string_view name,
                                  std::uint64_t fallback);

/// Answers the operators' calls, on the thread that runs the server's
/// io_context.
class admin_handler {
 public:
  virtual ~admin_handler() = default;
  virtual admin_answer Answer(const admin_call& call) = 0;
};

/// The operators' HTTP/JSON interface of one node. Malformed and oversized
/// calls never reach the handler.
class admin_server {
 public:
  /// Fails when the address can't be listened on. `handler` must outlive the
  /// server.
  static result<std::unique_ptr<admin_server>> Create(
      boost::asio::io_context& context, const endpoint& listen,
      admin_handler& handler);

  virtual ~admin_server() = default;

  /// Stops listening; calls being answered go on.
  virtual void Stop() = 0;
};

}  // namespace wagtailmount
