#include "LibTraffic/backend_statements.h"

#include <chrono>

#include "LibTraffic/header_fields.h"

namespace wagtailmount::detail {

std::optional<backend_statement> ReadStatement(const http_response& answer,
                                               const request_fields& fields) {
  const bool has_proof = fields.proof_of_origin.empty() ||
                         !FieldOf(answer, fields.proof_of_origin).empty();
  const bool is_misdirected =
      answer.result() == http::status::misdirected_request;
  if (is_misdirected || (IsSuccess(answer) && !has_proof)) {
    return std::nullopt;
  }
  backend_statement statement;
  statement.is_complete = has_proof;
  statement.is_leaving = IsFlagSet(FieldOf(answer, fields.leaving));
  const std::string_view limit = FieldOf(answer, fields.rate_limit);
  if (!limit.empty()) {
    statement.rate_limit = ParseRateLimit(limit);
    statement.is_rate_limit_malformed = !statement.rate_limit;
  }
  return statement;
}

statement_memory::change backend_statements::Record(
    time_point asked_at, std::string_view id,
    const backend_statement& statement) {
  const bool states_nothing = !statement.rate_limit && !statement.is_leaving &&
                              !statement.is_rate_limit_malformed;
  if (states_nothing && is_empty_) {
    return {};
  }
  const std::lock_guard lock{mutex_};
  const statement_memory::change changed =
      memory_.Record(clock_.Now(), asked_at, id, statement);
  is_empty_ = memory_.IsEmpty();
  return changed;
}

bool backend_statements::RecordFromPeer(std::string_view id,
                                        double rate_limit) {
  if (has_answered_) {
    return false;
  }
  const std::lock_guard lock{mutex_};
  const time_point now = clock_.Now();
  backend_statement statement;
  statement.rate_limit = rate_limit;
  memory_.Record(now, now, id, statement);
  is_empty_ = false;
  return true;
}

void backend_statements::SetCurrent(std::string_view id) {
  const std::lock_guard lock{mutex_};
  current_ = id;
}

void backend_statements::SetStarts(std::span<const upstream> upstreams) {
  const std::lock_guard lock{mutex_};
  const time_point now = clock_.Now();
  for (const upstream& each : upstreams) {
    if (!each.backend_server_id.empty()) {
      memory_.SetStart(now, each.backend_server_id, each.incarnation);
    }
  }
  is_empty_ = memory_.IsEmpty();
}

bool backend_statements::IsCurrent(std::string_view id) const {
  const std::lock_guard lock{mutex_};
  return current_.empty() || current_ == id;
}

void backend_statements::LogStarts(std::string_view id, std::uint64_t total) {
  constexpr std::chrono::seconds kInterval{1};
  const auto limit = RateLimitOf(id);
  if (!limit || log_ == nullptr) {
    return;
  }
  const std::lock_guard lock{mutex_};
  const time_point now = clock_.Now();
  const duration span = now - last_log_;
  if (span < kInterval) {
    return;
  }
  if (last_log_ != time_point{}) {
    log_line line{"backend-starts"};
    line.Text("backend", id)
        .Text("per_second", FormatRateLimit(*limit))
        .Number("started",
                static_cast<std::int64_t>(total - total_at_last_log_))
        .Number("span_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(span)
                    .count());
    log_->Add(std::move(line));
  }
  last_log_ = now;
  total_at_last_log_ = total;
}

std::optional<statement_memory::record> backend_statements::Find(
    std::string_view id) const {
  if (is_empty_) {
    return std::nullopt;
  }
  const std::lock_guard lock{mutex_};
  const statement_memory::record* const known = memory_.Find(id);
  return known == nullptr ? std::nullopt : std::optional{*known};
}

std::optional<double> backend_statements::RateLimitOf(
    std::string_view id) const {
  const auto known = Find(id);
  return known ? known->rate_limit : std::nullopt;
}

time_point backend_statements::LeavingSince(std::string_view id) const {
  const auto known = Find(id);
  return known ? known->leaving_since : time_point{};
}

void backend_statements::Log(std::string_view id,
                             const backend_statement& statement,
                             statement_memory::change changed) const {
  if (log_ == nullptr) {
    return;
  }
  if (changed.has_become_malformed) {
    log_line line{"backend-rate-limit-malformed"};
    line.Text("backend", id);
    log_->Add(std::move(line));
  }
  if (changed.is_rate_limit_changed) {
    log_line line{"backend-rate-limit"};
    line.Text("backend", id)
        .Text("per_second", statement.rate_limit
                                ? FormatRateLimit(*statement.rate_limit)
                                : "none");
    log_->Add(std::move(line));
  }
  if (changed.has_begun_to_leave) {
    log_line line{"backend-leaving"};
    line.Text("backend", id);
    log_->Add(std::move(line));
  }
}

}  // namespace wagtailmount::detail
