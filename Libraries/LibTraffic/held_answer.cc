#include "LibTraffic/held_answer.h"

namespace wagtailmount::detail {

task<bool> HoldBeforeOthers(traffic_worker& worker, caller_line& line,
                            line_ticket ticket, incoming_answer& answer) {
  if (answer.remaining_body == nullptr || !line.order.HasBehind(ticket)) {
    co_return true;
  }
  const std::size_t held = line.order.HoldableBytes();
  auto& waiting_bytes = worker.state.counters.pipelined_waiting_bytes;
  waiting_bytes += held;
  line.order.SetWaiting(ticket, held);
  disconnect_watcher watch{line.connection, line};
  const served_request_guard served{worker, watch};
  watch.Start();
  watch.CloseOnDisconnect(answer.connection.get());
  const body_status read_status =
      co_await HoldRest(answer, answer.body.size() + held);
  watch.CloseOnDisconnect(nullptr);
  line.order.SetWaiting(ticket, 0);
  waiting_bytes -= held;
  co_return read_status == body_status::kComplete ||
      read_status == body_status::kMore;
}

}  // namespace wagtailmount::detail
