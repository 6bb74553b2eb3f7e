#pragma once

#include <memory>

#include "LibRouting/verdict.h"
#include "LibTraffic/exchange.h"
#include "LibTraffic/traffic_state.h"

namespace wagtailmount::detail {

/// A caller's request at its entry node, the node that received it, together
/// with the route that it matched.
struct entry_request {
  outgoing_request& request;
  http_connection& caller;
  const route& chosen_route;
  const service& target;
  const routing_snapshot& snapshot;  ///< Outlives the request.
  time_point deadline;
  time_point objective{};  ///< Zero when the route sets none.
  bool is_idempotent = false;
  client_watch& watch;  ///< Of the caller's connection.
};

/// The result of a request over all its attempts.
struct entry_result {
  verdict proved = verdict::kNotRun;
  refusal_cause cause = refusal_cause::kNone;  ///< Set when there is no answer.
  std::optional<incoming_answer> answer;
  std::string_view upstream;  ///< VM of the last attempt, in the snapshot.
  choice_reason why = choice_reason::kNear;
  std::uint32_t attempts = 0;
};

/// Forwards a request: chooses an upstream, sends the request to its owner (the
/// node beside the upstream), and retries where a second run can do no harm.
task<entry_result> ForwardRequest(traffic_worker& worker,
                                  entry_request incoming);

}  // namespace wagtailmount::detail
