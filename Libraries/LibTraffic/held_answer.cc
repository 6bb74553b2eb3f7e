#include "LibTraffic/held_answer.h"

#include <algorithm>

namespace wagtailmount::detail {

task<refusal_cause> HoldBeforeOthers(traffic_worker& worker, caller_line& line,
                                     line_ticket ticket,
                                     incoming_answer& answer) {
  const traffic_state& state = worker.state;
  const bool is_late = state.clock.Now() >= state.answer_by.load();
  if (answer.remaining_body == nullptr || !line.order.HasBehind(ticket) ||
      is_late) {
    co_return refusal_cause::kNone;
  }
  auto& waiting_bytes = worker.state.counters.pipelined_waiting_bytes;
  const std::uint64_t left =
      kMaximumWaitingBytes -
      std::min<std::uint64_t>(kMaximumWaitingBytes, waiting_bytes);
  const std::size_t held =
      std::min<std::uint64_t>(line.order.HoldableBytes(), left);
  waiting_bytes += held;
  line.order.SetWaiting(ticket, held);
  const answer_guard passing{worker, line.connection};
  disconnect_watcher watch{line.connection, line};
  const served_request_guard served{worker, watch, request_stage::kAnswered};
  watch.Start();
  watch.CloseOnDisconnect(answer.connection.get());
  const body_status read_status =
      co_await HoldRest(answer, answer.body.size() + held);
  watch.CloseOnDisconnect(nullptr);
  line.order.SetWaiting(ticket, 0);
  waiting_bytes -= held;
  if (read_status == body_status::kComplete ||
      read_status == body_status::kMore) {
    co_return refusal_cause::kNone;
  }
  const bool is_over = watch.IsWithdrawn() ||
                       state.clock.Now() >= answer.rest_by - kStreamedRestGrace;
  co_return is_over ? refusal_cause::kDeadline : refusal_cause::kConnectionLost;
}

}  // namespace wagtailmount::detail
