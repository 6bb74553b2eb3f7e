#include "LibNode/signal_listener.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace wagtailmount {

signal_listener::signal_listener(std::initializer_list<int> signals,
                                 const runtime_clock& clock,
                                 boost::asio::io_context& target,
                                 handler handle)
    : clock_(clock), target_(target), handle_(std::move(handle)) {
  for (const int signal : signals) {
    signals_.add(signal);
  }
  Wait();
  thread_ = std::thread([this] { context_.run(); });
}

signal_listener::~signal_listener() {
  context_.stop();
  thread_.join();
}

void signal_listener::Wait() {
  signals_.async_wait(
      [this](const boost::system::error_code& failure, int signal) {
        if (failure) {
          return;
        }
        boost::asio::post(target_, [this, signal, arrived_at = clock_.Now()] {
          handle_(signal, arrived_at);
        });
        Wait();
      });
}

}  // namespace wagtailmount
