#include "LibTraffic/reading_limit.h"

namespace wagtailmount::detail {

reading_limit::reading_limit(http_connection& connection, time_point end)
    : connection_(std::make_shared<http_connection*>(&connection)),
      timer_(connection.stream.get_executor()) {
  connection.stream.expires_never();
  timer_.expires_at(end);
  timer_.async_wait([connection = connection_](error_code failure) {
    if (!failure && *connection != nullptr) {
      (*connection)->StopReading();
    }
  });
}

reading_limit::~reading_limit() { *connection_ = nullptr; }

}  // namespace wagtailmount::detail
