#pragma once

// Asio's coroutine support in Boost 1.74 uses std::exchange without including
// its header.
#include <utility>
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstddef>

/// The types of Boost.Beast and Asio that LibTraffic is built from.
namespace wagtailmount::detail {

namespace http = boost::beast::http;

using boost::system::error_code;

template <typename T>
using task = boost::asio::awaitable<T>;

/// Bodies pass through buffers that the reader and writer hand over piece by
/// piece, so that memory stays bounded whatever the length of a body.
using http_request = http::request<http::buffer_body>;
using http_response = http::response<http::buffer_body>;
using http_request_parser = http::request_parser<http::buffer_body>;
using http_response_parser = http::response_parser<http::buffer_body>;

/// Makes an asynchronous operation report its failure in `failure` rather than
/// by an exception.
inline auto ReportTo(error_code& failure) {
  return boost::asio::redirect_error(boost::asio::use_awaitable, failure);
}

/// The longest header section, first line included.
inline constexpr std::uint32_t kMaximumHeaderBytes = 16 * 1024;
/// The longest request target.
inline constexpr std::size_t kMaximumTargetBytes = 8192;
/// Bodies up to this length are held whole: a request so that it can be tried
/// again, an answer so that a truncated one is noticed before the caller sees
/// any of it. Longer ones are streamed.
inline constexpr std::size_t kRetainedBodyBytes = 65536;
/// The length of one streamed piece.
inline constexpr std::size_t kStreamedPieceBytes = 32768;

/// How long a kept connection of another node may wait for its next request.
inline constexpr std::chrono::seconds kIdleHopTimeout{75};
/// How long a peer may take for one piece of a body.
inline constexpr std::chrono::seconds kBodyPieceTimeout{5};
/// How long a new connection may take.
inline constexpr std::chrono::milliseconds kConnectTimeout{250};

}  // namespace wagtailmount::detail
