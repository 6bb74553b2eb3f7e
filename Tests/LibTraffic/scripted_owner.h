#pragma once

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "LibBase/endpoint.h"
#include "Tests/free_endpoint.h"

namespace wagtailmount::testing {

/// Takes the place of another node on its hop address: reads a request on each
/// of some connections, sends the answer that the test writes, and closes the
/// connection.
class scripted_owner {
 public:
  /// Returns the bytes to send, by the header section of the request.
  using answer_function = std::function<std::string(const std::string& head)>;

  scripted_owner(int connections, answer_function answer);
  scripted_owner(const scripted_owner&) = delete;
  scripted_owner& operator=(const scripted_owner&) = delete;
  ~scripted_owner();

  const endpoint& Address() const { return address_; }
  /// Waits until all answers have been given and returns the header section of
  /// each request.
  const std::vector<std::string>& Heads();

 private:
  void WaitForEnd();
  void AnswerNext();

  endpoint address_ = FreeEndpoint();
  int listener_ = -1;
  answer_function answer_;
  std::vector<std::string> heads_;
  std::thread thread_;
};

}  // namespace wagtailmount::testing
