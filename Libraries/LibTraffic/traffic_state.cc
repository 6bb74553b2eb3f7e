#include "LibTraffic/traffic_state.h"

#include <boost/asio/post.hpp>

#include "LibTraffic/request_reading.h"

namespace wagtailmount::detail {

traffic_counters shared_counters::Read() const {
  traffic_counters counts;
  counts.requests = requests;
  counts.answered_ran = answered_ran;
  counts.answered_may_have_run = answered_may_have_run;
  counts.answered_not_run = answered_not_run;
  counts.bad_requests = bad_requests;
  counts.attempts = attempts;
  counts.retries = retries;
  counts.retries_over_budget = retries_over_budget;
  counts.owner_admitted = owner_admitted;
  counts.owner_refused = owner_refused;
  counts.late_answers_dropped = late_answers_dropped;
  counts.refused_saturated = refused_saturated;
  counts.in_flight = in_flight;
  return counts;
}

service_state& traffic_worker::ServiceStateOf(const std::string& service_name) {
  const auto found = services.find(service_name);
  if (found != services.end()) {
    return found->second;
  }
  upstream_chooser chooser{
      {state.settings.failure_domain, state.settings.region}};
  return services
      .emplace(service_name, service_state{std::move(chooser), retry_budget{}})
      .first->second;
}

void traffic_worker::MeasureQueueWait() {
  if (has_marker) {
    return;
  }
  has_marker = true;
  boost::asio::post(context, [this, begin = state.clock.Now()] {
    has_marker = false;
    const bool was_saturated = saturation.IsSaturated();
    const time_point now = state.clock.Now();
    saturation.RecordWait(now, now - begin);
    if (state.log != nullptr && was_saturated != saturation.IsSaturated()) {
      using std::chrono::duration_cast;
      using std::chrono::milliseconds;
      state.log->Add(
          log_line{was_saturated ? "node-relieved" : "node-saturated"}
              .Number("queue_wait_ms",
                      duration_cast<milliseconds>(now - begin).count())
              .Number("refused", static_cast<std::int64_t>(
                                     state.counters.refused_saturated)));
    }
  });
}

task<bool> traffic_worker::WaitForClient(http_connection& client,
                                         duration idle_timeout) {
  if (state.is_closing) {
    co_return false;
  }
  idle_clients.insert(&client);
  const bool has_request = co_await WaitForRequest(client, idle_timeout);
  idle_clients.erase(&client);
  co_return has_request;
}

void traffic_worker::CloseIdleClients() {
  for (http_connection* const client : idle_clients) {
    // A request that has just been read is not affected, and is served.
    client->stream.cancel();
  }
}

}  // namespace wagtailmount::detail
