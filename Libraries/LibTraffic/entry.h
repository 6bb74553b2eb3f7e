#pragma once

#include <memory>

#include "LibRouting/verdict.h"
#include "LibTraffic/exchange.h"
#include "LibTraffic/traffic_state.h"

namespace wagtailmount::detail {

/// A request that a caller has sent to this node, with its route.
struct entry_request {
  outgoing_request& request;
  http_connection& caller;
  const route& chosen_route;
  const service& target;
  const routing_snapshot& snapshot;  ///< Kept until the request's end.
  time_point deadline;
  time_point objective{};  ///< Zero when the route tells none.
  bool is_idempotent = false;
};

/// What came of a request over all its attempts.
struct entry_result {
  verdict proved = verdict::kNotRun;
  refusal_cause cause = refusal_cause::kNone;  ///< Without an answer.
  std::optional<incoming_answer> answer;
  std::string_view upstream;  ///< The VM tried last, within the snapshot.
  choice_reason why = choice_reason::kNear;
  std::uint32_t attempts = 0;
};

/// Has a request run: chooses an upstream, asks its owner, and tries again
/// where that can't do harm.
task<entry_result> RunRequest(traffic_worker& worker, entry_request asked);

}  // namespace wagtailmount::detail
