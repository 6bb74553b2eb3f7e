#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/clock.h"
#include "LibLoad/admission_controller.h"
#include "LibLoad/attempt_outcome.h"
#include "LibTraffic/disconnect_watcher.h"
#include "LibTraffic/http_message.h"

namespace wagtailmount::detail {

/// The result of one attempt.
struct attempt_result {
  attempt_outcome outcome = attempt_outcome::kConnectFailed;
  refusal_cause cause = refusal_cause::kNone;  ///< Set for refusals.
  std::optional<incoming_answer> answer;       ///< Set for kAnswered.
  /// Part of the request was sent to a backend server. The backend server
  /// counts the request even if it refuses it.
  bool has_reached_backend_server = false;
  /// Refused by an owner whose backend server states that it leaves.
  bool is_backend_leaving = false;
  std::optional<owner_load> load;  ///< The owner's reported load.
  /// The crashes that the owner knows under the request, as
  /// FormatCrashReports() formats them.
  std::string crash_reports;
};

/// Whether an answer must repeat the request's "X-Request-Id".
enum class request_id_rule : std::uint8_t {
  kOptional,  ///< May be missing, but not differ; for backend servers.
  /// May be missing only in the first answer on a connection: a later answer
  /// without it may repeat an earlier one.
  kRequiredAfterFirst,
  kRequired,  ///< Must be present and equal; for other nodes.
};

/// What an answer must fulfil to be accepted.
struct answer_rules {
  request_id_rule id = request_id_rule::kOptional;
  /// Accepts a body without a length, which ends when the connection is closed.
  bool may_end_with_connection = false;
  /// Asks for a go-ahead before the body is sent; see body_go_ahead.h.
  bool is_body_announced = false;
  /// The peer is another node: it refuses a queued request that is called off,
  /// and says so when it closes the connection unread.
  bool is_other_node = false;
  /// How long after the deadline its answer is waited for.
  duration verdict_wait{};
};

/// Writes `request` on `connection` and reads the answer. Ends at `deadline`,
/// or when `watch` detects that the client has disconnected and closes the
/// connection. On return `connection` is null unless it can be reused.
task<attempt_result> Exchange(std::unique_ptr<http_connection>& connection,
                              outgoing_request& request, time_point deadline,
                              const runtime_clock& clock, answer_rules rules,
                              disconnect_watcher& watch);

}  // namespace wagtailmount::detail
