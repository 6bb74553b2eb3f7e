#include "LibTraffic/request_reading.h"
//
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <thread>

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using wagtailmount::detail::http_connection;
using wagtailmount::detail::request_wait;
using wagtailmount::detail::task;
using wagtailmount::detail::WaitForRequest;

namespace {

constexpr milliseconds kIdleTimeout{50};
constexpr std::string_view kRequest = "GET / HTTP/1.1\r\n\r\n";

// Two ends of a connection, and the wait for a request on one of them.
struct waiting_connection {
  waiting_connection() {
    tcp::acceptor acceptor{context,
                           {boost::asio::ip::address_v4::loopback(), 0}};
    client.connect(acceptor.local_endpoint());
    acceptor.accept(connection.stream.socket());
    boost::asio::co_spawn(
        context,
        [this]() -> task<void> {
          ended = co_await WaitForRequest(
              connection, std::chrono::steady_clock::now() + kIdleTimeout);
        },
        boost::asio::detached);
    context.poll();
  }

  boost::asio::io_context context{1};
  tcp::socket client{context};
  http_connection connection{context.get_executor()};
  request_wait ended = request_wait::kClosed;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(request_reading_suite)

// Guards against a request that is closed unread because the thread is busy
// while it arrives and the idle timeout ends.
BOOST_AUTO_TEST_CASE(WhatArrivesBeforeABusyThreadClosesIsRead) {
  waiting_connection waiting;
  boost::asio::post(waiting.context, [&waiting] {
    std::this_thread::sleep_for(2 * kIdleTimeout);
    // Runs between the look at the timers and what follows from it.
    boost::asio::post(waiting.context, [&waiting] {
      boost::asio::write(waiting.client, boost::asio::buffer(kRequest));
    });
  });
  waiting.context.run();
  BOOST_TEST((waiting.ended == request_wait::kArrived));
  BOOST_TEST(waiting.connection.buffer.size() == kRequest.size());
  BOOST_TEST(!waiting.connection.is_reading_stopped);
}

BOOST_AUTO_TEST_CASE(AConnectionWithoutARequestEndsItsWait) {
  waiting_connection waiting;
  waiting.context.run();
  BOOST_TEST((waiting.ended == request_wait::kEnded));
}

BOOST_AUTO_TEST_SUITE_END()
