#pragma once

#include <memory>
#include <optional>
#include <string_view>

#include "LibBase/clock.h"
#include "LibLoad/admission_controller.h"
#include "LibLoad/attempt_outcome.h"
#include "LibTraffic/departure_watch.h"
#include "LibTraffic/http_message.h"

namespace wagtailmount::detail {

/// What came of one attempt.
struct attempt_result {
  attempt_outcome outcome = attempt_outcome::kConnectFailed;
  refusal_cause cause = refusal_cause::kNone;  ///< With a refusal.
  std::optional<incoming_answer> answer;       ///< With kAnswered.
  /// Some of the request was sent to a backend server, which counts it even if
  /// it refuses it.
  bool has_arrived = false;
  std::optional<owner_load> load;  ///< As the owner told it.
};

/// What is asked of the answer's "X-Request-Id".
enum class id_rule : std::uint8_t {
  kIfGiven,   ///< A backend server need not repeat it.
  kRequired,  ///< Another node must.
};

/// What is asked of an answer.
struct answer_rules {
  id_rule id = id_rule::kIfGiven;
  /// It may have no length and end with its connection.
  bool may_end_with_connection = false;
};

/// Writes `request` on `connection` and reads the answer, until `deadline` or
/// until `watch` sees the asker leave, which closes the connection. On return
/// `connection` is null unless it can carry another exchange.
task<attempt_result> Exchange(std::unique_ptr<http_connection>& connection,
                              outgoing_request& request, time_point deadline,
                              const runtime_clock& clock, answer_rules rules,
                              departure_watch& watch);

}  // namespace wagtailmount::detail
