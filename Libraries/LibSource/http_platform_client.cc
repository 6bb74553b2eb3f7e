#include "LibSource/http_platform_client.h"

// Boost 1.74 uses std::exchange in its coroutines without including <utility>.
#include <utility>

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <string>

#include "LibSource/folder_listing.h"
#include "LibSource/platform_answers.h"

namespace wagtailmount {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

struct http_platform_client::shared_state {
  settings chosen;
  std::size_t first_address = 0;  ///< Index of the address to try first.
};

namespace {

constexpr std::uint32_t kMaximumHeaderBytes = 8 * 1024;
/// What is read and not parsed yet. The parser itself would wait for the end of
/// a chunk's extension or of a trailer without limit.
constexpr std::size_t kMaximumBufferedBytes = std::size_t{128} * 1024;
constexpr unsigned kHttp11 = 11;

/// Parameters of one HTTP request.
struct request_parameters {
  std::string target;
  steady_clock::time_point deadline;
  milliseconds connect_timeout;
  std::size_t maximum_body_bytes;
};

struct response {
  http::status status;
  std::string body;
};

error DescribeFailure(const error_code& failure, std::string_view operation,
                      const endpoint& address) {
  const std::string message = "platform " + address.ToText() + ", " +
                              std::string(operation) + ": " + failure.message();
  if (failure == beast::error::timeout) {
    return {error_kind::kTimeout, message};
  }
  const bool breaks_protocol =
      failure.category() ==
          http::make_error_code(http::error::bad_version).category() &&
      failure != http::error::end_of_stream &&
      failure != http::error::partial_message;
  return {
      breaks_protocol ? error_kind::kInvalidInput : error_kind::kUnavailable,
      message};
}

/// Sends one GET request over a new connection and reads the whole response.
asio::awaitable<result<response>> Exchange(endpoint address,
                                           request_parameters parameters) {
  error_code failure;
  auto token = asio::redirect_error(asio::use_awaitable, failure);
  const auto failed = [&](std::string_view operation) {
    return tl::unexpected(DescribeFailure(failure, operation, address));
  };
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  const asio::ip::tcp::endpoint remote(
      asio::ip::make_address(address.address, failure), address.port);
  if (failure) {
    co_return failed("parsing its address");
  }
  stream.expires_at(std::min(parameters.deadline,
                             steady_clock::now() + parameters.connect_timeout));
  co_await stream.async_connect(remote, token);
  if (failure) {
    co_return failed("connecting");
  }
  stream.expires_at(parameters.deadline);
  http::request<http::empty_body> request(http::verb::get, parameters.target,
                                          kHttp11);
  request.set(http::field::host, address.ToText());
  request.keep_alive(false);
  co_await http::async_write(stream, request, token);
  if (failure) {
    co_return failed("sending the request");
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(parameters.maximum_body_bytes);
  parser.header_limit(kMaximumHeaderBytes);
  beast::flat_buffer buffer{kMaximumBufferedBytes};
  co_await http::async_read(stream, buffer, parser, token);
  if (failure) {
    co_return failed("reading the answer to " + parameters.target);
  }
  auto answered = parser.release();
  co_return response{answered.result(), std::move(answered.body())};
}

/// The body if the status is 200, or else the error for that status.
result<std::string> BodyOf(result<response> answered,
                           const std::string& target) {
  if (!answered) {
    return tl::unexpected(std::move(answered).error());
  }
  const auto status = answered->status;
  if (status == http::status::ok) {
    return std::move(answered->body);
  }
  const std::string message = "the platform answered " + target +
                              " with status " +
                              std::to_string(static_cast<unsigned>(status));
  if (status == http::status::too_many_requests) {
    return Fail(error_kind::kOverLimit, message);
  }
  if (status == http::status::not_found) {
    return Fail(error_kind::kConflict, message);
  }
  const bool is_server_error =
      http::to_status_class(status) == http::status_class::server_error;
  return Fail(
      is_server_error ? error_kind::kUnavailable : error_kind::kInvalidInput,
      message);
}

/// True if the address could not be reached in time or failed, so that another
/// one may succeed. Once the call's deadline has passed, Get() tries no other.
bool ShouldTryNextAddress(const result<std::string>& body) {
  return !body && (body.error().kind == error_kind::kUnavailable ||
                   body.error().kind == error_kind::kTimeout);
}

template <typename state_type>
asio::awaitable<result<std::string>> Get(std::shared_ptr<state_type> state,
                                         request_parameters parameters) {
  const auto& addresses = state->chosen.addresses;
  const std::size_t first = state->first_address;
  result<std::string> body =
      Fail(error_kind::kUnavailable, "no platform address is configured");
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    const std::size_t index = (first + i) % addresses.size();
    body = BodyOf(co_await Exchange(addresses[index], parameters),
                  parameters.target);
    state->first_address =
        ShouldTryNextAddress(body) ? (index + 1) % addresses.size() : index;
    if (!ShouldTryNextAddress(body) ||
        steady_clock::now() >= parameters.deadline) {
      break;
    }
  }
  co_return body;
}

/// Starts one call on `context` and passes its result to `finish`.
template <typename state_type>
void SpawnGet(asio::io_context& context, std::shared_ptr<state_type> state,
              std::string target, milliseconds timeout,
              std::function<void(result<std::string>)> finish) {
  request_parameters parameters{
      std::move(target), steady_clock::now() + timeout,
      state->chosen.connect_timeout, state->chosen.maximum_body_bytes};
  asio::co_spawn(
      context,
      [state = std::move(state), parameters = std::move(parameters),
       finish = std::move(finish)]() -> asio::awaitable<void> {
        finish(co_await Get(state, parameters));
      },
      asio::detached);
}

/// Appends the query parameter "after" unless it is empty.
result<std::string> PagedTarget(std::string path, std::string_view after) {
  if (after.empty()) {
    return path;
  }
  if (!IsFileName(after)) {
    return Fail(
        error_kind::kInvalidInput,
        "\"" + std::string(after) + "\" is not a valid name to list after");
  }
  return path + "?after=" + std::string(after);
}

}  // namespace

result<std::unique_ptr<http_platform_client>> http_platform_client::Create(
    asio::io_context& context, const settings& chosen) {
  if (chosen.addresses.empty()) {
    return Fail(error_kind::kInvalidInput, "no platform address is configured");
  }
  auto state = std::make_shared<shared_state>();
  state->chosen = chosen;
  return std::unique_ptr<http_platform_client>(
      new http_platform_client(context, std::move(state)));
}

http_platform_client::http_platform_client(asio::io_context& context,
                                           std::shared_ptr<shared_state> state)
    : context_(context), state_(std::move(state)) {}

http_platform_client::~http_platform_client() = default;

void http_platform_client::List(std::string_view after,
                                answer<listing_page> done) {
  auto target = PagedTarget("/v1/folder", after);
  if (!target) {
    done(tl::unexpected(target.error()));
    return;
  }
  SpawnGet(context_, state_, std::move(*target), state_->chosen.call_timeout,
           [done = std::move(done)](result<std::string> body) {
             done(body.and_then(ParseListingPage));
           });
}

void http_platform_client::Read(std::string_view name,
                                const digest& content_digest,
                                answer<std::string> done) {
  if (!IsFileName(name)) {
    done(Fail(error_kind::kInvalidInput,
              "\"" + std::string(name) + "\" is not a valid file name"));
    return;
  }
  SpawnGet(context_, state_, "/v1/folder/files/" + std::string(name),
           state_->chosen.call_timeout,
           [done = std::move(done), content_digest](result<std::string> body) {
             if (body && DigestOf(*body) != content_digest) {
               body = Fail(error_kind::kConflict,
                           "the file has changed since it was listed");
             }
             done(std::move(body));
           });
}

void http_platform_client::Watch(std::uint64_t known,
                                 answer<std::uint64_t> done) {
  SpawnGet(context_, state_, "/v1/folder/watch?known=" + std::to_string(known),
           state_->chosen.watch_timeout,
           [done = std::move(done)](result<std::string> body) {
             done(body.and_then(ParseWatchAnswer));
           });
}

void http_platform_client::ListVms(std::string_view after,
                                   answer<vm_page> done) {
  auto target = PagedTarget("/v1/vms", after);
  if (!target) {
    done(tl::unexpected(target.error()));
    return;
  }
  SpawnGet(context_, state_, std::move(*target), state_->chosen.call_timeout,
           [done = std::move(done)](result<std::string> body) {
             done(body.and_then(ParseVmPage));
           });
}

}  // namespace wagtailmount
