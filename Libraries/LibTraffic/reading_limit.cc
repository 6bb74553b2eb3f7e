#include "LibTraffic/reading_limit.h"

namespace wagtailmount::detail {

reading_limit::reading_limit(http_connection& connection, time_point end)
    : state_(std::make_shared<shared_state>()),
      timer_(connection.stream.get_executor()) {
  state_->connection = &connection;
  connection.stream.expires_never();
  timer_.expires_at(end);
  timer_.async_wait([state = state_](error_code failure) {
    if (!failure && state->connection != nullptr) {
      state->is_over = true;
      state->connection->StopReading();
    }
  });
}

reading_limit::~reading_limit() {
  // What was read at the last moment may leave the connection in use.
  if (state_->is_over) {
    state_->connection->is_reading_stopped = false;
  }
  state_->connection = nullptr;
}

}  // namespace wagtailmount::detail
