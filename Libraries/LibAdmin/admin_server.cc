#include "LibAdmin/admin_server.h"

#include <utility>
// <utility> stands first, for Boost 1.74's awaitable.hpp uses std::exchange
// without including it.
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <list>
#include <memory>
#include <string>

namespace wagtailmount {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::chrono::seconds kCallTimeout{10};
constexpr std::uint32_t kMaximumHeaderBytes = 8'192;
constexpr std::uint64_t kMaximumBodyBytes = 4'096;
constexpr std::size_t kMaximumBufferedBytes = 65'536;

/// Connections that wait for a call, so that the descriptors of requests are
/// not used up: above it, the one that has waited longest is closed.
constexpr std::size_t kMostWaitingConnections = 64;
/// After a connection could not be accepted, as when descriptors run out.
constexpr std::chrono::milliseconds kAcceptPause{20};

constexpr std::chrono::seconds kLingerTimeout{1};
constexpr std::size_t kMaximumDiscardedBytes = 65'536;

using admin_response = http::response<http::string_body>;

admin_response MakeResponse(const admin_answer& answer, unsigned version,
                            bool keeps_alive) {
  admin_response response{static_cast<http::status>(answer.status), version};
  response.set(http::field::content_type, answer.text.empty()
                                              ? "application/json"
                                              : "text/plain; version=0.0.4");
  response.set(http::field::cache_control, "no-store");
  response.keep_alive(keeps_alive);
  response.body() =
      answer.text.empty()
          ? answer.body.dump(-1, ' ', false,
                             nlohmann::json::error_handler_t::replace) +
                "\n"
          : answer.text;
  response.prepare_payload();
  return response;
}

/// The answer to a call that the HTTP parser refused; status 0 when the
/// connection is simply over.
admin_answer AnswerToParseFailure(const beast::error_code& failure) {
  if (failure == http::error::body_limit) {
    return AdminError(413, "the body is larger than 4 KiB");
  }
  if (failure == http::error::header_limit) {
    return AdminError(431, "the header is larger than 8 KiB");
  }
  if (failure.category() ==
          make_error_code(http::error::bad_method).category() &&
      failure != http::error::end_of_stream &&
      failure != http::error::partial_message) {
    return AdminError(400, "the call is not HTTP/1.1: " + failure.message());
  }
  return {0, {}};
}

admin_answer AnswerCall(admin_handler& handler,
                        const http::request<http::string_body>& request) {
  const std::string_view target{request.target().data(),
                                request.target().size()};
  const auto question = target.find('?');
  const bool has_query = question != std::string_view::npos;
  const auto method_text = request.method_string();
  const std::string_view method{method_text.data(), method_text.size()};
  if (method != "GET" && method != "POST") {
    return AdminError(405, "only GET and POST are known");
  }
  return handler.Answer({method, target.substr(0, question),
                         has_query ? target.substr(question + 1) : ""});
}

/// Closes a connection whose call was not read to its end. Reading on for a
/// bounded while keeps the operating system from resetting the connection,
/// which would take the answer away from the other side.
asio::awaitable<void> CloseAfterAnswer(beast::tcp_stream& stream) {
  beast::error_code failure;
  stream.socket().shutdown(tcp::socket::shutdown_send, failure);
  std::array<char, 4096> discarded{};
  std::size_t total = 0;
  stream.expires_after(kLingerTimeout);
  while (!failure && total < kMaximumDiscardedBytes) {
    total += co_await stream.async_read_some(
        asio::buffer(discarded),
        asio::redirect_error(asio::use_awaitable, failure));
  }
}

/// The connections that wait for a call, the longest first.
using waiting_connections = std::list<beast::tcp_stream*>;

asio::awaitable<void> ServeConnection(
    tcp::socket socket, admin_handler& handler,
    std::shared_ptr<waiting_connections> waiting) {
  beast::tcp_stream stream(std::move(socket));
  // The parser itself would wait for the end of a chunk's extension or of a
  // trailer without limit.
  beast::flat_buffer buffer{kMaximumBufferedBytes};
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(kMaximumHeaderBytes);
    parser.body_limit(kMaximumBodyBytes);
    stream.expires_after(kCallTimeout);
    beast::error_code failure;
    waiting->push_back(&stream);
    if (waiting->size() > kMostWaitingConnections) {
      waiting->front()->cancel();
      waiting->pop_front();
    }
    co_await http::async_read(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    waiting->remove(&stream);
    const admin_answer answer = failure ? AnswerToParseFailure(failure)
                                        : AnswerCall(handler, parser.get());
    if (answer.status == 0) {
      co_return;
    }
    const bool keeps_alive = !failure && parser.get().keep_alive();
    auto response = MakeResponse(answer, 11, keeps_alive);
    beast::error_code write_failure;
    co_await http::async_write(
        stream, response,
        asio::redirect_error(asio::use_awaitable, write_failure));
    if (write_failure || !keeps_alive) {
      co_await CloseAfterAnswer(stream);
      co_return;
    }
  }
}

class beast_admin_server final : public admin_server {
 public:
  beast_admin_server(tcp::acceptor acceptor, admin_handler& handler)
      : acceptor_(std::move(acceptor)), handler_(handler) {}

  void Start() {
    asio::co_spawn(acceptor_.get_executor(), AcceptConnections(),
                   asio::detached);
  }

  void Stop() override {
    beast::error_code ignored;
    acceptor_.close(ignored);
  }

 private:
  asio::awaitable<void> AcceptConnections() {
    while (acceptor_.is_open()) {
      beast::error_code failure;
      auto socket = co_await acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, failure));
      if (failure == asio::error::operation_aborted) {
        co_return;
      }
      if (failure) {
        // Destroyed with the server, which ends the wait.
        pause_.expires_after(kAcceptPause);
        co_await pause_.async_wait(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
          co_return;
        }
        continue;
      }
      asio::co_spawn(acceptor_.get_executor(),
                     ServeConnection(std::move(socket), handler_, waiting_),
                     asio::detached);
    }
  }

  tcp::acceptor acceptor_;
  asio::steady_timer pause_{acceptor_.get_executor()};
  admin_handler& handler_;
  // Shared with the connections, which may end after the server.
  std::shared_ptr<waiting_connections> waiting_ =
      std::make_shared<waiting_connections>();
};

}  // namespace

admin_answer AdminError(unsigned status, std::string_view reason) {
  return {status, {{"error", {{"reason", reason}}}}};
}

result<std::uint64_t> QueryNumber(std::string_view query, std::string_view name,
                                  std::uint64_t fallback) {
  while (!query.empty()) {
    const auto end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    query = end == std::string_view::npos ? "" : query.substr(end + 1);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) != name) {
      continue;
    }
    const std::string_view text =
        equals == std::string_view::npos ? "" : pair.substr(equals + 1);
    std::uint64_t number = 0;
    const auto [last, status] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || status != std::errc{} ||
        last != text.data() + text.size()) {
      return Fail(error_kind::kInvalidInput,
                  "\"" + std::string(name) + "\" must be a whole number");
    }
    return number;
  }
  return fallback;
}

result<std::unique_ptr<admin_server>> admin_server::Create(
    asio::io_context& context, const endpoint& listen, admin_handler& handler) {
  beast::error_code failure;
  tcp::acceptor acceptor(context);
  const tcp::endpoint address(asio::ip::make_address(listen.address, failure),
                              listen.port);
  if (!failure) {
    acceptor.open(address.protocol(), failure);
  }
  if (!failure) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  }
  if (!failure) {
    acceptor.bind(address, failure);
  }
  if (!failure) {
    acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return Fail(error_kind::kInternal, "can't listen on the admin address " +
                                           listen.ToText() + ": " +
                                           failure.message());
  }
  auto server =
      std::make_unique<beast_admin_server>(std::move(acceptor), handler);
  server->Start();
  return server;
}

}  // namespace wagtailmount
