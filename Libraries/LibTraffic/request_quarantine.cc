#include "LibTraffic/request_quarantine.h"

#include <algorithm>
#include <utility>

#include "LibTraffic/header_fields.h"
#include "LibTraffic/request_fingerprints.h"

namespace wagtailmount::detail {

std::optional<request_fingerprint> request_quarantine::SuspectOf(
    const outgoing_request& request) const {
  if (is_empty_) {
    return std::nullopt;
  }
  const std::uint64_t head = HeadFingerprintOf(request, caller_service_);
  {
    const std::lock_guard lock{mutex_};
    if (!ledger_.IsHeadKnown(head)) {
      return std::nullopt;
    }
  }
  const request_fingerprint fingerprint =
      FingerprintOf(request, caller_service_);
  return CrashesOf(fingerprint) > 0 ? std::optional{fingerprint} : std::nullopt;
}

request_standing request_quarantine::StandingOf(
    const request_fingerprint& request) const {
  const std::lock_guard lock{mutex_};
  return ledger_.StandingOf(clock_.Now(), request);
}

std::uint32_t request_quarantine::CrashesOf(
    const request_fingerprint& request) const {
  const std::lock_guard lock{mutex_};
  return ledger_.CrashesOf(request);
}

std::vector<crash_report> request_quarantine::ReportsOf(
    const request_fingerprint& request) const {
  const std::lock_guard lock{mutex_};
  return ledger_.ReportsOf(clock_.Now(), request);
}

request_fingerprint request_quarantine::RecordCrash(
    const outgoing_request& request, std::string_view backend,
    std::uint32_t known_before) {
  const request_fingerprint fingerprint =
      FingerprintOf(request, caller_service_);
  const std::lock_guard lock{mutex_};
  const std::uint64_t crash = NameCrash(backend);
  const bool is_most_suspect = IsMostSuspect(fingerprint, known_before);
  const crash_report report{
      fingerprint, crash,
      std::max<std::uint32_t>(1, known_before + (is_most_suspect ? 1 : 0)),
      false, std::chrono::milliseconds{0}};
  AddNews(MergeLocked({&report, 1}));
  if (log_ != nullptr) {
    log_line line{"backend-crashed"};
    line.Text("id", FieldOf(request.message, kRequestIdField))
        .Text("backend", backend)
        .Text("request", fingerprint.whole.ToShortHex())
        .Number("known_crashes", ledger_.CrashesOf(fingerprint));
    log_->Add(std::move(line));
  }
  return fingerprint;
}

void request_quarantine::RecordAnswer(const request_fingerprint& request) {
  const std::lock_guard lock{mutex_};
  AddNews(ledger_.Refute(clock_.Now(), request));
}

// All requests that ran at the backend server find out within a moment. The
// first of them keeps what ran beside it.
std::uint64_t request_quarantine::NameCrash(std::string_view backend) {
  constexpr std::chrono::seconds kMoment{1};
  const time_point now = clock_.Now();
  std::uint64_t crash = last_crash_;
  if (!backend.empty()) {
    crash = HashOf(backend);
  } else if (now - last_crash_at_ > kMoment) {
    crash = HashOf(vm_ + std::to_string(clock_.UnixMilliseconds()));
  }
  if (crash != last_crash_) {
    last_crash_ = crash;
    last_crash_at_ = now;
    running_at_last_crash_ = running_;
  }
  return crash;
}

// Whether no other request that ran at the last crash is as suspect.
bool request_quarantine::IsMostSuspect(const request_fingerprint& request,
                                       std::uint32_t known_crashes) const {
  return std::none_of(
      running_at_last_crash_.begin(), running_at_last_crash_.end(),
      [&](const suspect_run& each) {
        return each.request != request && each.known_crashes >= known_crashes;
      });
}

bool request_quarantine::MustWait(const request_fingerprint& request,
                                  std::uint32_t known_crashes) const {
  return known_crashes > 1 && std::any_of(running_.begin(), running_.end(),
                                          [&](const suspect_run& each) {
                                            return each.request != request &&
                                                   each.known_crashes > 1;
                                          });
}

refusal_cause request_quarantine::TryBeginRun(
    const request_fingerprint& request, std::uint32_t known_crashes,
    bool is_trial_here) {
  const std::lock_guard lock{mutex_};
  const time_point now = clock_.Now();
  const request_standing standing = ledger_.StandingOf(now, request);
  const bool is_trial = standing == request_standing::kTrialDue;
  if (standing == request_standing::kQuarantined ||
      (is_trial && !is_trial_here)) {
    return refusal_cause::kQuarantined;
  }
  if (MustWait(request, known_crashes)) {
    return refusal_cause::kOverloaded;
  }
  if (is_trial) {
    ledger_.BeginTrial(now, request);
    if (log_ != nullptr) {
      log_line line{"quarantine-trial"};
      line.Text("request", request.whole.ToShortHex());
      log_->Add(std::move(line));
    }
  }
  running_.push_back({request, known_crashes});
  return refusal_cause::kNone;
}

void request_quarantine::EndRun(const request_fingerprint& request) {
  const std::lock_guard lock{mutex_};
  const auto found = std::find_if(
      running_.begin(), running_.end(),
      [&](const suspect_run& each) { return each.request == request; });
  if (found != running_.end()) {
    running_.erase(found);
  }
}

// Without anybody who takes them, reports would pile up.
void request_quarantine::AddNews(std::span<const crash_report> news) {
  constexpr std::size_t kMaximumNews = 4 * crash_ledger::kMaximumSummary;
  const std::size_t room = kMaximumNews - std::min(kMaximumNews, news_.size());
  const auto kept = news.first(std::min(room, news.size()));
  news_.insert(news_.end(), kept.begin(), kept.end());
  if (!kept.empty() && news_listener_) {
    news_listener_();
  }
  if (kept.size() < news.size() && log_ != nullptr) {
    log_->Add(log_line{"crash-reports-dropped"}.Number(
        "count", static_cast<std::int64_t>(news.size() - kept.size())));
  }
}

void request_quarantine::MergeFromHop(std::span<const crash_report> reports) {
  const std::lock_guard lock{mutex_};
  AddNews(MergeLocked(reports));
}

std::vector<crash_report> request_quarantine::Merge(
    std::span<const crash_report> reports) {
  const std::lock_guard lock{mutex_};
  return MergeLocked(reports);
}

std::vector<crash_report> request_quarantine::MergeLocked(
    std::span<const crash_report> reports) {
  const time_point now = clock_.Now();
  auto news = ledger_.Merge(now, reports);
  is_empty_ = ledger_.IsEmpty();
  for (const crash_report& each : news) {
    const bool is_quarantined =
        ledger_.StandingOf(now, each.request) == request_standing::kQuarantined;
    if (is_quarantined && log_ != nullptr) {
      log_line line{"request-quarantined"};
      line.Text("request", each.request.whole.ToShortHex())
          .Number("crashes", ledger_.CrashesOf(each.request));
      log_->Add(std::move(line));
    }
  }
  return news;
}

std::vector<crash_report> request_quarantine::TakeNews() {
  const std::lock_guard lock{mutex_};
  return std::exchange(news_, {});
}

void request_quarantine::SetNewsListener(std::function<void()> listener) {
  const std::lock_guard lock{mutex_};
  news_listener_ = std::move(listener);
}

std::vector<crash_report> request_quarantine::Summary() const {
  const std::lock_guard lock{mutex_};
  return ledger_.Summary(clock_.Now());
}

std::size_t request_quarantine::Count() const {
  const std::lock_guard lock{mutex_};
  return ledger_.QuarantinedCount(clock_.Now());
}

}  // namespace wagtailmount::detail
