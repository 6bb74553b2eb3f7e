#include "LibTraffic/backend_warmth.h"

#include <algorithm>
#include <chrono>

#include "LibTraffic/header_fields.h"

namespace wagtailmount::detail {

namespace {

using std::chrono::milliseconds;

/// A longer time in an answer is a mistake, and is taken as this.
constexpr std::uint64_t kLongestStatedMilliseconds = 600'000;

}  // namespace

void backend_warmth::Publish(const upstream_limits& limits,
                             const std::optional<own_backend_server>& own) {
  const std::lock_guard lock{mutex_};
  const time_point now = clock_.Now();
  const auto most =
      MostColdStarts(limits.cold_start.requests_a_second, overage_, slack_);
  is_limited_ = most.has_value();
  gate_.SetMostCold(most, started_at_);
  judge_.SetPeriod(limits.cold_start.period);
  if (own) {
    judge_.Register(now, {.incarnation = own->incarnation,
                          .remaining = own->cold_remaining,
                          .stated_at = own->cold_stated_at,
                          .evacuation_ended_at = own->evacuation_ended_at});
  }
  Apply(now);
}

void backend_warmth::Refresh() {
  if (is_limited_ && is_cold_) {
    const std::lock_guard lock{mutex_};
    Apply(clock_.Now());
  }
}

void backend_warmth::RecordUnreachable() {
  if (is_limited_) {
    const std::lock_guard lock{mutex_};
    const time_point now = clock_.Now();
    judge_.RecordUnreachable(now);
    Apply(now);
  }
}

void backend_warmth::RecordConnectionLost(time_point alive_at) {
  if (is_limited_) {
    const std::lock_guard lock{mutex_};
    const time_point now = clock_.Now();
    judge_.RecordConnectionLost(now, alive_at);
    Apply(now);
  }
}

void backend_warmth::RecordAnswer(time_point opened_at, time_point asked_at,
                                  std::string_view cold_time) {
  if (!is_limited_) {
    return;
  }
  const auto stated = ParseMilliseconds(cold_time);
  if (!is_cold_ && !stated) {
    return;
  }
  const std::lock_guard lock{mutex_};
  const time_point now = clock_.Now();
  judge_.RecordAnswer(opened_at);
  if (stated) {
    const auto remaining = milliseconds{static_cast<std::int64_t>(
        std::min(*stated, kLongestStatedMilliseconds))};
    judge_.RecordStatement(now, asked_at, remaining);
  }
  Apply(now);
}

void backend_warmth::Apply(time_point now) {
  const cold_sign sign = is_limited_ ? judge_.SignAt(now) : cold_sign::kNone;
  const bool is_cold = sign != cold_sign::kNone;
  if (is_cold_.exchange(is_cold) != is_cold) {
    gate_.SetCold(is_cold);
    Log(now, sign);
  }
}

void backend_warmth::Log(time_point now, cold_sign sign) const {
  if (log_ == nullptr) {
    return;
  }
  if (sign == cold_sign::kNone) {
    log_->Add(log_line{"backend-warm"});
    return;
  }
  using std::chrono::duration_cast;
  log_line line{"backend-cold"};
  line.Text("sign", NameOf(sign))
      .Number("left_ms",
              duration_cast<milliseconds>(judge_.ColdUntil() - now).count());
  log_->Add(std::move(line));
}

}  // namespace wagtailmount::detail
