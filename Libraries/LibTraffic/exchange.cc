#include "LibTraffic/exchange.h"

#include <limits>

#include "LibTraffic/body_go_ahead.h"
#include "LibTraffic/header_fields.h"

namespace wagtailmount::detail {

namespace {

// Longer idle timeouts are as good as none.
constexpr std::uint64_t kMaximumIdleTimeoutSeconds = 3'600;

// Whether an exchange that failed had time left.
bool IsInTime(time_point deadline, const runtime_clock& clock,
              const disconnect_watcher& watch) {
  return clock.Now() < deadline && !watch.IsWithdrawn();
}

attempt_outcome OutcomeOfFailedWrite(write_status written, bool is_in_time) {
  if (written == write_status::kNothingWritten) {
    return attempt_outcome::kClosedBeforeFirstByte;
  }
  if (!is_in_time) {
    return attempt_outcome::kNoAnswerInTime;
  }
  return written == write_status::kBodyLost
             ? attempt_outcome::kBodyLost
             : attempt_outcome::kLostWhileWriting;
}

bool IsInterim(const http_response_parser& parser) {
  constexpr unsigned kFirstFinalStatus = 200;
  return parser.get().result_int() < kFirstFinalStatus;
}

void ConfigureParser(http_response_parser& parser, http::verb method) {
  parser.header_limit(kMaximumHeaderBytes);
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  parser.skip(method == http::verb::head);
}

// Reads the header section of the final answer, skipping 1xx answers.
task<std::unique_ptr<http_response_parser>> ReadAnswerHeader(
    http_connection& connection, http::verb method, error_code& failure) {
  constexpr int kMaximumInterimAnswers = 8;
  for (int count = 0; count < kMaximumInterimAnswers; ++count) {
    auto parser = std::make_unique<http_response_parser>();
    ConfigureParser(*parser, method);
    failure = co_await ReadHeader(connection, *parser);
    if (failure || !IsInterim(*parser)) {
      co_return parser;
    }
  }
  failure = make_error_code(http::error::bad_status);
  co_return nullptr;
}

bool IsHttpError(error_code failure) {
  return failure && failure.category() ==
                        make_error_code(http::error::bad_status).category();
}

bool HasMatchingRequestId(const http_connection& connection,
                          const outgoing_request& request,
                          const http_response& answer, request_id_rule rule) {
  const std::string_view answer_id = FieldOf(answer, kRequestIdField);
  const bool may_be_missing =
      rule == request_id_rule::kOptional ||
      (rule == request_id_rule::kRequiredAfterFirst && !connection.is_reused);
  return (answer_id.empty() && may_be_missing) ||
         answer_id == FieldOf(request.message, kRequestIdField);
}

// Whether an answer repeats the one to the request before on its connection.
bool IsCopyOfLastAnswer(const http_connection& connection,
                        const outgoing_request& request,
                        const http_response& answer) {
  const std::string_view answer_id = FieldOf(answer, kRequestIdField);
  return !answer_id.empty() && answer_id == connection.last_request_id &&
         answer_id != FieldOf(request.message, kRequestIdField);
}

// Reads the rest of an answer and drops it; false if its end is not found.
task<bool> DropAnswer(http_connection& connection,
                      http_response_parser& parser) {
  if (parser.need_eof()) {
    co_return false;
  }
  std::string dropped;
  body_status read_status =
      parser.is_done() ? body_status::kComplete : body_status::kMore;
  while (read_status == body_status::kMore) {
    read_status = co_await ReadBodyPiece(connection, parser, dropped);
  }
  co_return read_status == body_status::kComplete;
}

// Reads the header section of the answer to `request`. A backend server may
// send an answer twice, and the second copy arrives where the next answer is
// expected; it is skipped.
task<std::unique_ptr<http_response_parser>> ReadOwnAnswerHeader(
    http_connection& connection, const outgoing_request& request,
    error_code& failure) {
  const http::verb method = request.message.method();
  std::unique_ptr<http_response_parser> parser =
      co_await ReadAnswerHeader(connection, method, failure);
  const bool is_copy = !failure && method != http::verb::head &&
                       IsCopyOfLastAnswer(connection, request, parser->get());
  if (!is_copy) {
    co_return parser;
  }
  const bool is_dropped = co_await DropAnswer(connection, *parser);
  if (!is_dropped) {
    failure = make_error_code(http::error::partial_message);
    co_return nullptr;
  }
  co_return co_await ReadAnswerHeader(connection, method, failure);
}

// Parses "timeout=N", in whole seconds, in the Keep-Alive field; the maximum if
// there is none.
duration StatedIdleTimeout(const http_response& answer) {
  constexpr std::string_view kTimeout = "timeout=";
  std::string_view text = ToStandard(answer[http::field::keep_alive]);
  const std::size_t begin = text.find(kTimeout);
  if (begin == std::string_view::npos) {
    return duration::max();
  }
  text.remove_prefix(begin + kTimeout.size());
  const auto seconds = ParseNumber(text.substr(0, text.find_first_of(", ")));
  return seconds && *seconds <= kMaximumIdleTimeoutSeconds
             ? duration{std::chrono::seconds{*seconds}}
             : duration::max();
}

// Reads the answer to a request that has been written completely.
task<attempt_result> ReadAnswer(std::unique_ptr<http_connection>& connection,
                                const outgoing_request& request,
                                time_point deadline, const runtime_clock& clock,
                                answer_rules rules,
                                const disconnect_watcher& watch) {
  attempt_result result;
  connection->stream.expires_after(deadline + rules.verdict_wait - clock.Now());
  error_code failure;
  std::unique_ptr<http_response_parser> parser =
      co_await ReadOwnAnswerHeader(*connection, request, failure);
  if (failure) {
    const bool is_in_time = IsInTime(deadline, clock, watch);
    result.outcome = IsHttpError(failure) ? attempt_outcome::kAnswerMalformed
                     : is_in_time         ? attempt_outcome::kLostAfterWriting
                                          : attempt_outcome::kNoAnswerInTime;
    co_return result;
  }
  if (rules.is_other_node && !FieldOf(parser->get(), kClosingField).empty()) {
    result.outcome = attempt_outcome::kRefusedNotRun;
    result.cause = refusal_cause::kDraining;
    co_return result;
  }
  if (parser->need_eof() && !parser->is_done() &&
      !rules.may_end_with_connection) {
    // A body that ends when the connection is closed can't be told from a
    // truncated one.
    result.outcome = attempt_outcome::kAnswerMalformed;
    co_return result;
  }
  if (!HasMatchingRequestId(*connection, request, parser->get(), rules.id)) {
    result.outcome = attempt_outcome::kIdMismatch;
    co_return result;
  }
  incoming_answer answer;
  // Moved out before the body is read, so that trailer fields are not taken for
  // header fields.
  answer.message.base() = std::move(parser->get().base());
  const body_status read_status =
      co_await ReadBodyStart(*connection, *parser, answer.body);
  if (read_status == body_status::kInvalid) {
    result.outcome = attempt_outcome::kAnswerMalformed;
    co_return result;
  }
  if (read_status == body_status::kLost) {
    result.outcome = IsInTime(deadline, clock, watch)
                         ? attempt_outcome::kAnswerTruncated
                         : attempt_outcome::kNoAnswerInTime;
    co_return result;
  }
  answer.rest_by = deadline + kStreamedRestGrace;
  if (read_status == body_status::kMore) {
    answer.remaining_body = std::move(parser);
    answer.connection = std::move(connection);
  } else if (!parser->keep_alive()) {
    connection.reset();
  }
  result.outcome = attempt_outcome::kAnswered;
  result.answer = std::move(answer);
  co_return result;
}

}  // namespace

task<attempt_result> Exchange(std::unique_ptr<http_connection>& connection,
                              outgoing_request& request, time_point deadline,
                              const runtime_clock& clock, answer_rules rules,
                              disconnect_watcher& watch) {
  watch.CloseOnDisconnect(connection.get(), rules.is_other_node
                                                ? withdrawal::kCallOff
                                                : withdrawal::kClose);
  connection->stream.expires_after(deadline + rules.verdict_wait - clock.Now());
  const bool is_long = IsBodyAnnounced(request);
  if (is_long && !rules.is_body_announced) {
    connection->AllowSlowReading(deadline);
  }
  attempt_result result;
  announced_write write;
  if (request.remaining_body != nullptr) {
    watch.StopReadingOnWithdrawal(request.remaining_body_connection);
  }
  if (rules.is_body_announced) {
    write = co_await WriteAnnounced(*connection, request, deadline);
  } else {
    write.written = co_await WriteRequest(*connection, request, deadline);
  }
  watch.StopReadingOnWithdrawal(nullptr);
  if (write.written == write_status::kWritten || write.is_answered) {
    result =
        co_await ReadAnswer(connection, request, deadline, clock, rules, watch);
  } else {
    result.outcome =
        OutcomeOfFailedWrite(write.written, IsInTime(deadline, clock, watch));
  }
  if (write.is_answered) {
    connection.reset();
  }
  watch.CloseOnDisconnect(nullptr);
  // A connection is never reused after an incomplete exchange.
  if (result.outcome != attempt_outcome::kAnswered) {
    if (connection != nullptr) {
      connection->Abandon();
    }
    connection.reset();
  } else if (connection != nullptr) {
    if (is_long) {
      connection->SetUnacknowledgedTimeout(kUnacknowledgedTimeout);
    }
    connection->last_request_id = FieldOf(request.message, kRequestIdField);
    connection->stated_idle_timeout = StatedIdleTimeout(result.answer->message);
  }
  co_return result;
}

}  // namespace wagtailmount::detail
