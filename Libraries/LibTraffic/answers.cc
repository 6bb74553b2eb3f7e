#include "LibTraffic/answers.h"

#include <string>

#include "LibTraffic/header_fields.h"

namespace wagtailmount::detail {

namespace {

constexpr unsigned kHttpVersion11 = 11;
constexpr std::size_t kMaximumLingerBytes = std::size_t{1024} * 1024;
constexpr std::size_t kLingerReadBytes = 4096;

bool HasNoBodyByStatus(http::status status) {
  return status == http::status::no_content ||
         status == http::status::not_modified;
}

// Formats a Retry-After value: seconds, with a decimal fraction if needed.
std::string FormatSeconds(std::chrono::milliseconds delay) {
  constexpr int kMillisecondsPerSecond = 1000;
  const auto whole = delay.count() / kMillisecondsPerSecond;
  const auto fraction = delay.count() % kMillisecondsPerSecond;
  std::string text = std::to_string(whole);
  if (fraction > 0) {
    const std::string digits =
        std::to_string(kMillisecondsPerSecond + fraction);
    text += "." + digits.substr(1);
  }
  return text;
}

}  // namespace

task<bool> WriteRefusal(http_connection& connection, refusal_answer refusal) {
  incoming_answer answer;
  http_response& message = answer.message;
  message.version(kHttpVersion11);
  message.result(refusal.status);
  SetField(message, kVerdictField, NameOf(refusal.proved));
  SetField(message, kReasonField, refusal.reason);
  if (!refusal.request_id.empty()) {
    SetField(message, kRequestIdField, refusal.request_id);
  }
  if (refusal.retry_after.count() > 0) {
    message.set(http::field::retry_after, FormatSeconds(refusal.retry_after));
  }
  if (!refusal.load.empty()) {
    SetField(message, kLoadField, refusal.load);
  }
  if (!refusal.clock.empty()) {
    SetField(message, kClockField, refusal.clock);
  }
  if (refusal.has_reached_backend_server) {
    SetField(message, kArrivedField, "1");
  }
  if (!refusal.crash_reports.empty()) {
    SetField(message, kCrashesField, refusal.crash_reports);
  }
  if (refusal.is_backend_leaving) {
    SetField(message, kBackendLeavingField, "1");
  }
  if (refusal.is_closing_notice) {
    SetField(message, kClosingField, "1");
  }
  message.set(http::field::content_type, "text/plain");
  message.keep_alive(refusal.is_kept_alive);
  std::string text{NameOf(refusal.proved)};
  text += ": ";
  text += refusal.reason;
  text += '\n';
  message.content_length(text.size());
  if (!refusal.is_head) {
    answer.body = std::move(text);
  }
  co_return co_await WriteAnswer(connection, answer);
}

void FinishAnswer(incoming_answer& answer, std::string_view request_id,
                  bool is_head, bool is_kept_alive) {
  http_response& message = answer.message;
  message.version(kHttpVersion11);
  const bool is_complete = answer.remaining_body == nullptr;
  const bool has_length =
      message.find(http::field::content_length) != message.end();
  if (HasNoBodyByStatus(message.result())) {
    message.erase(http::field::transfer_encoding);
  } else if (is_complete && !is_head) {
    message.content_length(answer.body.size());
  } else if (!is_complete && !has_length) {
    message.chunked(true);
  }
  message.keep_alive(is_kept_alive);
  SetField(message, kVerdictField, NameOf(verdict::kRan));
  SetField(message, kRequestIdField, request_id);
}

cut_cause CauseOfCut(http_connection& caller) {
  return caller.HasPeerClosed() ? cut_cause::kCallerLeft
                                : cut_cause::kAnswerLate;
}

cut_cause CauseOfCut(http_connection& caller, const incoming_answer& answer,
                     time_point now) {
  // The node beside the upstream may end it a moment earlier.
  const bool is_lost = answer.remaining_body != nullptr &&
                       now < answer.rest_by - kStreamedRestGrace;
  return is_lost && !caller.HasPeerClosed() ? cut_cause::kAnswerLost
                                            : CauseOfCut(caller);
}

task<void> LingeringClose(http_connection& connection, duration timeout) {
  error_code failure;
  connection.EndSending();
  std::size_t count = 0;
  connection.stream.expires_after(timeout);
  while (!failure && count < kMaximumLingerBytes) {
    const std::size_t read = co_await connection.stream.async_read_some(
        connection.buffer.prepare(kLingerReadBytes), ReportTo(failure));
    count += read;
    // The beginning is kept, since it may name a request that was not read.
    if (connection.buffer.size() < kLingerReadBytes) {
      connection.buffer.commit(read);
    }
  }
  connection.Close();
}

}  // namespace wagtailmount::detail
