#include "LibTraffic/sessions.h"
//
#include <boost/asio/co_spawn.hpp>

#include "LibTraffic/answers.h"
#include "LibTraffic/caller_request.h"

namespace wagtailmount::detail {

namespace {

// Serves a request beside others of its connection.
task<void> ServeBehind(traffic_worker& worker,
                       std::shared_ptr<caller_line> line,
                       std::unique_ptr<caller_request> request) {
  const counted_guard counted{worker.state.counters.in_flight};
  if (line->order.Has(request->Ticket())) {
    const next_step next = co_await request->Serve();
    line->Finish(request->Ticket(), next);
  }
}

}  // namespace

void session_end::operator()(const std::exception_ptr& failure) const {
  if (!failure || worker.state.log == nullptr) {
    return;
  }
  log_line line{"session-failed"};
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& error) {
    line.Text("reason", error.what());
  }
  worker.state.log->Add(std::move(line));
}

task<void> ServeCaller(traffic_worker& worker,
                       boost::asio::ip::tcp::socket socket) {
  const auto line = std::make_shared<caller_line>(worker, std::move(socket));
  const counted_guard connected{worker.state.counters.caller_connections};
  // Parsed, but not to be served beside others.
  std::unique_ptr<caller_request> held;
  line->SetRead([&worker, &held, &line = *line] {
    auto request = caller_request::Make(worker, line);
    if (!request->ReadBehind()) {
      held = std::move(request);
      return false;
    }
    boost::asio::co_spawn(
        worker.context,
        ServeBehind(worker, line.shared_from_this(), std::move(request)),
        session_end{worker});
    return true;
  });
  next_step next = next_step::kKeepAlive;
  while (next == next_step::kKeepAlive) {
    // NOTE: g++ 12 evaluates a co_await on the right of && in a condition even
    // if the left side is false, so it is a statement of its own.
    if (held == nullptr) {
      const bool has_request = co_await worker.WaitForClient(
          line->connection, worker.state.idle_timeout.load());
      if (!has_request) {
        break;
      }
    }
    // Counts until the line is empty.
    const counted_guard counted{worker.state.counters.in_flight};
    line->ContinueAlone();
    const std::unique_ptr<caller_request> request =
        held != nullptr ? std::move(held) : caller_request::Make(worker, *line);
    request->Join();
    const next_step own_next = co_await request->Serve();
    line->Finish(request->Ticket(), own_next);
    if (!line->order.IsEmpty()) {
      co_await line->WaitUntilEmpty();
    }
    next = line->Next();
    // Counted as in flight, so that the last answer reaches the caller before
    // the process ends.
    if (next == next_step::kLingeringClose) {
      co_await LingeringClose(line->connection);
    }
  }
  line->connection.Close();
}

}  // namespace wagtailmount::detail
