#include "LibAdmin/admin_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>

namespace wagtailmount {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::uint64_t kMaximumAnswerBytes = std::uint64_t{64} * 1024 * 1024;
// What is read and not parsed yet. The parser itself would wait for the end of
// a chunk's extension or of a trailer without limit.
constexpr std::size_t kMaximumBufferedBytes = std::size_t{128} * 1024;

/// One call with its steps chained; each step starts the next until one fails.
class admin_exchange {
 public:
  admin_exchange(const endpoint& node, std::string_view method,
                 std::string_view target)
      : node_(node), stream_(context_) {
    const http::verb verb =
        method == "POST" ? http::verb::post : http::verb::get;
    request_ = {verb, std::string(target), 11};
    request_.set(http::field::host, node.ToText());
    request_.set(http::field::connection, "close");
    request_.prepare_payload();
    parser_.body_limit(kMaximumAnswerBytes);
  }

  beast::error_code Run(std::chrono::milliseconds timeout) {
    const asio::ip::tcp::endpoint address(asio::ip::make_address(node_.address),
                                          node_.port);
    stream_.expires_after(timeout);
    stream_.async_connect(
        address, [this](beast::error_code failure) { Write(failure); });
    context_.run();
    return failure_;
  }

  const http::response<http::string_body>& Response() { return parser_.get(); }

 private:
  void Write(beast::error_code failure) {
    if (failure) {
      failure_ = failure;
      return;
    }
    http::async_write(
        stream_, request_,
        [this](beast::error_code failure, std::size_t) { Read(failure); });
  }

  void Read(beast::error_code failure) {
    if (failure) {
      failure_ = failure;
      return;
    }
    http::async_read(
        stream_, buffer_, parser_,
        [this](beast::error_code failure, std::size_t) { failure_ = failure; });
  }

  asio::io_context context_;
  endpoint node_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kMaximumBufferedBytes};
  http::request<http::empty_body> request_;
  http::response_parser<http::string_body> parser_;
  beast::error_code failure_;
};

}  // namespace

result<nlohmann::json> CallAdmin(const endpoint& node, std::string_view method,
                                 std::string_view target,
                                 std::chrono::milliseconds timeout) {
  admin_exchange exchange(node, method, target);
  const beast::error_code failure = exchange.Run(timeout);
  if (failure) {
    const bool is_late = failure == beast::error::timeout;
    return Fail(is_late ? error_kind::kTimeout : error_kind::kUnavailable,
                node.ToText() + " did not answer: " + failure.message());
  }
  const auto& response = exchange.Response();
  auto body = nlohmann::json::parse(response.body(), nullptr, false);
  if (body.is_discarded()) {
    return Fail(error_kind::kInvalidInput,
                node.ToText() + " gave an answer that is not JSON");
  }
  if (response.result_int() / 100 != 2) {
    return Fail(error_kind::kInvalidInput,
                node.ToText() + " refused the call: " + body.dump());
  }
  return body;
}

}  // namespace wagtailmount
