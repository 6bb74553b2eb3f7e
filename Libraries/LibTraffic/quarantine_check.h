#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibTraffic/owner.h"

namespace wagtailmount::detail {

/// Keeps one request at its owner from crashing one backend server after the
/// other, and records what its run shows. Both arguments must outlive it.
class quarantine_check {
 public:
  quarantine_check(traffic_worker& worker, const owner_request& incoming);
  quarantine_check(const quarantine_check&) = delete;
  quarantine_check& operator=(const quarantine_check&) = delete;
  ~quarantine_check();

  /// Whether the request is refused at once because it crashes the backend
  /// servers that run it.
  bool IsRefused() const;

  /// Why the request must not start, asked last before that, or kNone. Begins
  /// the trial of a request if it is due at this VM.
  refusal_cause CauseNotToStart();

  /// Records how the run ended: that the backend server crashed, or that its
  /// whole answer speaks for the request.
  task<void> RecordEnd(attempt_result& result);

  /// The known crashes as other nodes are told of them; empty if there are
  /// none.
  std::string ReportsText() const;

 private:
  bool IsTrialHere() const;

  traffic_worker& worker_;
  traffic_state& state_;
  const owner_request& incoming_;
  std::optional<request_fingerprint> suspect_;
  std::uint32_t known_crashes_ = 0;  ///< When the run began.
  /// What runs at the backend server, if it is suspect.
  std::optional<request_fingerprint> running_;
};

/// The known crashes under a request, as other nodes are told of them; empty if
/// there are none.
std::string CrashReportsText(const traffic_state& state,
                             const outgoing_request& request);

/// Adds what another node told of the crashes under `request`.
void MergeCrashReports(traffic_state& state, const outgoing_request& request,
                       std::string_view text);

}  // namespace wagtailmount::detail
