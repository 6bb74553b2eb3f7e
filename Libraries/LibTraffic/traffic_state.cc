#include "LibTraffic/traffic_state.h"

namespace wagtailmount::detail {

traffic_counters shared_counters::Read() const {
  traffic_counters read;
  read.requests = requests;
  read.answered_ran = answered_ran;
  read.answered_may_have_run = answered_may_have_run;
  read.answered_not_run = answered_not_run;
  read.bad_requests = bad_requests;
  read.attempts = attempts;
  read.retries = retries;
  read.retries_over_budget = retries_over_budget;
  read.owner_admitted = owner_admitted;
  read.owner_refused = owner_refused;
  read.late_answers_dropped = late_answers_dropped;
  read.in_flight = in_flight;
  return read;
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

}  // namespace wagtailmount::detail
