#include "Tests/LibTraffic/scripted_owner.h"

#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <utility>

#include "Tests/LibTraffic/raw_http.h"

namespace wagtailmount::testing {

namespace {

int Listen(const endpoint& address) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  // Connections that an earlier test closed may linger on the port.
  const int yes = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  const sockaddr_in bound = AddressOf(address);
  BOOST_REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&bound),
                     sizeof bound) == 0);
  BOOST_REQUIRE(listen(listener, 1) == 0);
  const timeval patience{.tv_sec = 10, .tv_usec = 0};
  setsockopt(listener, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  return listener;
}

}  // namespace

scripted_owner::scripted_owner(int connections, answer_function answer)
    : listener_(Listen(address_)), answer_(std::move(answer)) {
  thread_ = std::thread([this, connections] {
    for (int count = 0; count < connections; ++count) {
      AnswerNext();
    }
  });
}

scripted_owner::~scripted_owner() {
  WaitForEnd();
  close(listener_);
}

const std::vector<std::string>& scripted_owner::Heads() {
  WaitForEnd();
  return heads_;
}

void scripted_owner::WaitForEnd() {
  if (thread_.joinable()) {
    thread_.join();
  }
}

void scripted_owner::AnswerNext() {
  const int connection = accept(listener_, nullptr, nullptr);
  std::string head;
  while (head.find("\r\n\r\n") == std::string::npos &&
         ReceiveSome(connection, head)) {
  }
  SendAll(connection, answer_(head));
  heads_.push_back(head);
  close(connection);
}

}  // namespace wagtailmount::testing
