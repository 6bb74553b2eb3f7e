#include "LibTraffic/traffic_state.h"

#include <algorithm>
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
  counts.owner_admitted_limited = owner_admitted_limited;
  counts.owner_admitted_cold = owner_admitted_cold;
  counts.owner_refused = owner_refused;
  counts.owner_refused_evacuated = owner_refused_evacuated;
  counts.late_answers_dropped = late_answers_dropped;
  counts.backend_crashes = backend_crashes;
  counts.refused_quarantined = refused_quarantined;
  counts.closed_crowded = closed_crowded;
  counts.closed = closed.Read();
  counts.closed_unread = closed_unread.Read();
  counts.requests_cut = requests_cut.Read();
  counts.pipelined_requests = pipelined_requests;
  counts.pipelined_cancelled = pipelined_cancelled;
  counts.pipelined_waiting_bytes = pipelined_waiting_bytes;
  counts.answers_being_written = answers_being_written;
  counts.caller_connections = caller_connections;
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

bool traffic_state::IsCrowded() const {
  // The other half is for connections whose request is being served, for other
  // nodes, the backend server and files.
  constexpr std::uint32_t kCallerShareDivisor = 2;
  return settings.maximum_descriptors > 0 &&
         counters.caller_connections >
             settings.maximum_descriptors / kCallerShareDivisor;
}

task<bool> traffic_worker::WaitForClient(http_connection& client,
                                         idle_timeout_function idle_timeout) {
  const time_point idle_since = state.clock.Now();
  request_wait ended = request_wait::kEnded;
  // The timeout may be raised meanwhile, and the client rely on that.
  while (!state.is_closing && ended == request_wait::kEnded &&
         state.clock.Now() < idle_since + idle_timeout(state)) {
    idle_clients.insert(&client);
    ended = co_await WaitForRequest(client, idle_since + idle_timeout(state));
    idle_clients.erase(&client);
  }
  if (ended == request_wait::kEnded && state.is_closing) {
    // What was sent in time is refused, not closed unread.
    co_return client.buffer.size() > 0 || client.ReadAvailable(kFirstReadBytes);
  }
  co_return ended == request_wait::kArrived;
}

void traffic_worker::KeepBackendConnection(
    std::unique_ptr<http_connection> connection) {
  connection->permit = state.gate.TryAcquireIdlePermit();
  if (connection->permit.IsHeld()) {
    pool.Keep(state.settings.backend_server, std::move(connection),
              state.clock.Now());
  }
}

task<void> traffic_worker::CloseIdleClients() {
  constexpr std::chrono::milliseconds kReadInterval{10};
  boost::asio::steady_timer timer{context};
  // A busy thread may not have come to read what arrived long ago.
  while (std::any_of(idle_clients.begin(), idle_clients.end(),
                     [](auto* client) { return client->HasArrived(); })) {
    timer.expires_after(kReadInterval);
    error_code ignored;
    co_await timer.async_wait(ReportTo(ignored));
  }
  for (http_connection* const client : idle_clients) {
    // A request that has just been read is not affected, and is served.
    client->stream.cancel();
  }
  do {
    timer.expires_after(kReadInterval);
    error_code ignored;
    co_await timer.async_wait(ReportTo(ignored));
  } while (closing_clients > 0);
}

void traffic_worker::WithdrawAt(time_point end, duration verdict_wait) {
  withdraw_timer.expires_after(end - state.clock.Now());
  withdraw_timer.async_wait([this, end, verdict_wait](error_code failure) {
    if (failure) {
      return;
    }
    state.gate.RefuseQueued(refusal_cause::kDraining);
    if (state.log != nullptr && !served_requests.empty()) {
      log_line line{"requests-withdrawn"};
      line.Number("count", static_cast<std::int64_t>(served_requests.size()));
      state.log->Add(std::move(line));
    }
    // The newest first: what is queued elsewhere is called off before the end
    // of what runs there makes room for it.
    for (auto each = served_requests.rbegin(); each != served_requests.rend();
         ++each) {
      each->second->Withdraw();
    }
    EndWithdrawalsBy(end + verdict_wait);
  });
}

void traffic_worker::BufferUnsentAnswers() {
  for (http_connection* const client : answered_clients) {
    client->BufferUnsent();
  }
}

// Waits until the requests that were withdrawn have ended, `end` at the latest.
void traffic_worker::EndWithdrawalsBy(time_point end) {
  constexpr std::chrono::milliseconds kLookInterval{10};
  const bool is_over = state.clock.Now() >= end;
  if (is_over) {
    for (const auto& [place, request] : served_requests) {
      request->EndWithdrawal();
    }
  }
  if (is_over || served_requests.empty()) {
    // Runs after those requests have gone on.
    boost::asio::post(context, [this] { has_withdrawn = true; });
    return;
  }
  withdraw_timer.expires_after(kLookInterval);
  withdraw_timer.async_wait([this, end](error_code failure) {
    if (!failure) {
      EndWithdrawalsBy(end);
    }
  });
}

}  // namespace wagtailmount::detail
