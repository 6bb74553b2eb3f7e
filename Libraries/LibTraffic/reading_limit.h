#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "LibTraffic/http_connection.h"

namespace wagtailmount::detail {

/// Stops reading from a connection at a time, until it is destroyed; see
/// http_connection::StopReading(). Replaces the expiry of the stream. Used on
/// the thread of the connection, which must outlive it.
class reading_limit {
 public:
  reading_limit(http_connection& connection, time_point end);
  reading_limit(const reading_limit&) = delete;
  reading_limit& operator=(const reading_limit&) = delete;
  ~reading_limit();

 private:
  struct shared_state {
    http_connection* connection = nullptr;  ///< Null once the limit is gone.
    bool is_over = false;
  };

  // Shared with the timer's handler, which may run after the limit is gone.
  std::shared_ptr<shared_state> state_;
  boost::asio::steady_timer timer_;
};

}  // namespace wagtailmount::detail
