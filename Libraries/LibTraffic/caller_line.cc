#include "LibTraffic/caller_line.h"

#include <algorithm>
#include <string_view>

namespace wagtailmount::detail {

namespace {

constexpr std::size_t kReadAheadBytes = 4096;

bool HasWholeHeader(const boost::beast::flat_buffer& buffer) {
  const std::string_view unread{static_cast<const char*>(buffer.data().data()),
                                buffer.size()};
  return unread.find("\r\n\r\n") != std::string_view::npos;
}

}  // namespace

task<turn> caller_line::WaitForTurn(line_ticket ticket, std::size_t bytes,
                                    time_point end) {
  order.SetWaiting(ticket, bytes);
  auto& waiting_bytes = worker_.state.counters.pipelined_waiting_bytes;
  waiting_bytes += bytes;
  boost::asio::steady_timer timer{worker_.context};
  timer.expires_at(end);
  waiting_.emplace(ticket, &timer);
  bool is_expired = false;
  while (order.Has(ticket) && !order.IsFirst(ticket) && !is_expired) {
    error_code failure;
    co_await timer.async_wait(ReportTo(failure));
    is_expired = !failure;
  }
  waiting_.erase(ticket);
  waiting_bytes -= bytes;
  order.SetWaiting(ticket, 0);
  if (order.IsFirst(ticket)) {
    co_return turn::kCome;
  }
  co_return order.Has(ticket) ? turn::kExpired : turn::kCancelled;
}

void caller_line::Finish(line_ticket ticket, next_step next) {
  if (!order.IsFirst(ticket)) {
    return;
  }
  next_ = std::max(next_, next);
  const bool is_open = next_ == next_step::kKeepAlive;
  const std::size_t cancelled = order.RemoveFirst(is_open);
  if (!is_open) {
    Cancel(cancelled);
  } else if (!order.IsEmpty()) {
    Wake(order.First());
    if (MayRead()) {
      ReadAhead();
    }
  }
  if (order.IsEmpty() && empty_timer_ != nullptr) {
    empty_timer_->cancel();
  }
}

task<void> caller_line::WaitUntilEmpty() {
  boost::asio::steady_timer timer{worker_.context};
  timer.expires_at(time_point::max());
  empty_timer_ = &timer;
  while (!order.IsEmpty()) {
    error_code ignored;
    co_await timer.async_wait(ReportTo(ignored));
  }
  empty_timer_ = nullptr;
}

void caller_line::Add(disconnect_watcher& watcher) {
  watchers_.push_back(&watcher);
  if (has_disconnected_) {
    watcher.Disconnect();
  } else if (connection.buffer.size() > 0 && MayRead()) {
    ReadAhead();
  } else {
    WaitForBytes();
  }
}

void caller_line::Remove(disconnect_watcher& watcher) {
  std::erase(watchers_, &watcher);
}

bool caller_line::MayRead() const {
  const traffic_state& state = worker_.state;
  return !is_held_ && !watchers_.empty() && order.MayRead() &&
         !state.is_leaving && !state.is_stopping &&
         state.counters.pipelined_waiting_bytes < kMaximumWaitingBytes;
}

void caller_line::ReadAhead() {
  while (MayRead()) {
    if (HasWholeHeader(connection.buffer)) {
      is_held_ = !read_();
    } else if (connection.buffer.size() >= kMaximumHeaderBytes) {
      is_held_ = true;
    } else if (!connection.ReadAvailable(kReadAheadBytes)) {
      break;
    }
  }
  WaitForBytes();
}

// The wait stays when all requests have ended, and then ends with the bytes of
// the next one.
void caller_line::WaitForBytes() {
  if (std::exchange(is_waiting_for_bytes_, true)) {
    return;
  }
  connection.stream.socket().async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [weak = weak_from_this()](error_code failure) {
        const auto line = weak.lock();
        if (line == nullptr) {
          return;
        }
        line->is_waiting_for_bytes_ = false;
        if (!failure && !line->watchers_.empty()) {
          line->HandleReadable();
        }
      });
}

// While bytes lie unread, waiting for the socket can't detect a later close.
void caller_line::AskAgainSoon() {
  if (std::exchange(is_polling_, true)) {
    return;
  }
  poll_timer_.expires_after(kClosePollInterval);
  poll_timer_.async_wait([weak = weak_from_this()](error_code failure) {
    const auto line = weak.lock();
    if (line == nullptr) {
      return;
    }
    line->is_polling_ = false;
    if (!failure && !line->watchers_.empty()) {
      line->HandleReadable();
    }
  });
}

void caller_line::HandleReadable() {
  if (connection.HasPeerClosed()) {
    Disconnect();
  } else if (MayRead()) {
    ReadAhead();
  } else {
    AskAgainSoon();
  }
}

void caller_line::Disconnect() {
  has_disconnected_ = true;
  next_ = std::max(next_, next_step::kLingeringClose);
  Cancel(order.CancelBehindFirst());
}

// The requests that wait at a backend server end with their connections.
void caller_line::Cancel(std::size_t cancelled) {
  worker_.state.counters.pipelined_cancelled += cancelled;
  worker_.state.counters.requests_cut.Add(
      has_disconnected_ ? cut_cause::kCallerLeft : cut_cause::kBehind,
      cancelled);
  for (disconnect_watcher* const watcher : watchers_) {
    watcher->Disconnect();
  }
  for (const auto& [ticket, timer] : waiting_) {
    timer->cancel();
  }
}

void caller_line::Wake(line_ticket ticket) {
  const auto found = waiting_.find(ticket);
  if (found != waiting_.end()) {
    found->second->cancel();
  }
}

}  // namespace wagtailmount::detail
