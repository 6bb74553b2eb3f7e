#pragma once

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "Tests/LibTraffic/traffic_fixture.h"

namespace wagtailmount::testing {

/// After a caller's close, backend servers work on for no longer than this.
inline constexpr std::chrono::milliseconds kCancelledWithin{500};
/// What is ready goes out at once; the rest is for a busy machine.
inline constexpr std::chrono::milliseconds kAtOnce{150};

inline std::string Request(const std::string& id,
                           const std::string& fields = {},
                           const std::string& method = "GET") {
  return method + " / HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\n" +
         fields + "\r\n";
}

inline std::string Fake(const std::string& behaviour) {
  return "X-Fake: " + behaviour + "\r\n";
}

struct pipelining_fixture : traffic_fixture {
  explicit pipelining_fixture(fixture_options options = {})
      : traffic_fixture(1, options) {
    Publish();
  }

  fake_backend_server& Backend() { return *Owner(1).backend_server; }
  traffic_counters Counters() { return Entry().server->Counters(); }

  void CheckThatAnswersComeInOrder(test_caller& caller, int count) {
    for (int number = 0; number < count; ++number) {
      const auto answer = caller.Receive();
      BOOST_TEST(answer.status == 200);
      BOOST_TEST(answer.is_complete);
      BOOST_TEST(answer.Field("X-Request-Id") == std::to_string(number));
    }
  }

  void CheckThatAllIsCancelled() {
    const auto begin = std::chrono::steady_clock::now();
    BOOST_TEST(Eventually([&] { return Backend().Running() == 0; }));
    BOOST_TEST((std::chrono::steady_clock::now() - begin <= kCancelledWithin));
    BOOST_TEST(Eventually([&] { return Entry().server->IsIdle(); }));
    BOOST_TEST(Counters().pipelined_waiting_bytes == 0U);
  }
};

}  // namespace wagtailmount::testing
