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

/// Short names for the Boost.Beast and Asio types that LibTraffic uses.
namespace wagtailmount::detail {

namespace http = boost::beast::http;

using boost::system::error_code;

template <typename T>
using task = boost::asio::awaitable<T>;

/// Bodies are read and written in pieces through a buffer, so that memory stays
/// bounded for bodies of any length.
using http_request = http::request<http::buffer_body>;
using http_response = http::response<http::buffer_body>;
using http_request_parser = http::request_parser<http::buffer_body>;
using http_response_parser = http::response_parser<http::buffer_body>;

/// Completion token that stores an error in `failure` instead of throwing it.
inline auto ReportTo(error_code& failure) {
  return boost::asio::redirect_error(boost::asio::use_awaitable, failure);
}

/// Maximum size of a header section, including the start line.
inline constexpr std::uint32_t kMaximumHeaderBytes = 16 * 1024;
/// Maximum length of a request target.
inline constexpr std::size_t kMaximumTargetBytes = 8192;
/// Bodies up to this length are held completely: of a request so that it can be
/// retried, of an answer so that truncation is detected before the caller
/// receives any of it. Longer bodies are streamed.
inline constexpr std::size_t kRetainedBodyBytes = 65536;
/// The length of one streamed piece.
inline constexpr std::size_t kStreamedPieceBytes = 32768;

/// How long an idle connection from another node stays open.
inline constexpr std::chrono::seconds kIdleHopTimeout{75};
/// Ends a connection to a peer that acknowledges nothing. Allows several
/// retransmissions on a lossy link and is well below request deadlines.
inline constexpr std::chrono::milliseconds kUnacknowledgedTimeout{1'000};
/// How long a peer may at least take for one piece of an answer that it reads.
inline constexpr std::chrono::seconds kBodyPieceTimeout{5};
/// How long after the deadline the rest of a streamed answer may still come: it
/// was begun in time, and most of it may be on the way.
inline constexpr std::chrono::milliseconds kStreamedRestGrace{250};
/// Timeout for opening a connection.
inline constexpr std::chrono::milliseconds kConnectTimeout{250};

}  // namespace wagtailmount::detail
