#include "LibTraffic/traffic_state.h"

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

}  // namespace wagtailmount::detail
