#include "LibLoad/crash_ledger.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace wagtailmount {

namespace {

/// From this many crashes on, a request is quarantined. A sound one that was
/// running at so many crashes, with no whole answer between them, is rare, and
/// every further crash costs a backend server and all that it runs.
constexpr std::uint32_t kCrashesToQuarantine = 2;
/// A request is quarantined only if it was started once more after a crash
/// under it was known: many requests run at all backend servers that crash
/// together for another reason, or beside the one that crashes them.
constexpr std::uint32_t kDepthToQuarantine = 2;
/// The time in quarantine until the first trial. It doubles with each further
/// crash.
constexpr std::chrono::seconds kFirstTrialDelay{30};
constexpr std::chrono::hours kLongestTrialDelay{1};
/// How long a request that is quarantined is remembered; longer than the
/// longest delay between trials.
constexpr std::chrono::hours kLifetime{2};
/// How long any other is. Callers repeat a request within minutes.
constexpr std::chrono::minutes kSuspectLifetime{10};
constexpr std::chrono::seconds kCleanupInterval{10};

std::chrono::seconds TrialDelay(std::uint32_t crashes) {
  std::chrono::seconds delay = kFirstTrialDelay;
  for (std::uint32_t count = kCrashesToQuarantine;
       count < crashes && delay < kLongestTrialDelay; ++count) {
    delay *= 2;
  }
  return std::min<std::chrono::seconds>(delay, kLongestTrialDelay);
}

}  // namespace

std::uint32_t crash_ledger::suspect::Unrefuted() const {
  return static_cast<std::uint32_t>(
      std::count_if(crashes.begin(), crashes.end(),
                    [](const auto& each) { return !each.second.is_refuted; }));
}

std::uint32_t crash_ledger::suspect::Depth() const {
  std::uint32_t depth = 0;
  for (const auto& [id, each] : crashes) {
    depth = std::max(depth, each.Weight());
  }
  return depth;
}

time_point crash_ledger::suspect::LastEvent() const {
  time_point last = trial_began_at;
  for (const auto& [id, each] : crashes) {
    last = std::max(last, each.at);
  }
  return last;
}

std::tuple<std::uint32_t, std::uint32_t, time_point>
crash_ledger::suspect::Rank() const {
  return {Depth(), Unrefuted(), LastEvent()};
}

std::vector<crash_report> crash_ledger::Merge(
    time_point now, std::span<const crash_report> reports) {
  Forget(now);
  std::vector<crash_report> news;
  for (const crash_report& report : reports) {
    if (report.age < kLifetime && MergeOne(now, report)) {
      news.push_back(report);
    }
  }
  return news;
}

// Reports that find no room are no news, and what is given up for others is of
// less weight than they are, so that nodes which can't keep all do not go on
// sending each other the rest.
bool crash_ledger::MergeOne(time_point now, const crash_report& report) {
  if (!suspects_.contains(report.request) && !MakeRoomFor(report)) {
    return false;
  }
  auto& crashes = suspects_[report.request].crashes;
  const crash added{report.depth, report.is_refuted, now - report.age};
  const auto found = crashes.find(report.crash);
  if (found == crashes.end()) {
    if (crashes.size() >= kMaximumCrashesOfRequest) {
      const auto least = std::min_element(
          crashes.begin(), crashes.end(),
          [](const auto& left, const auto& right) {
            return left.second.Weight() < right.second.Weight();
          });
      if (least->second.Weight() >= added.Weight()) {
        return false;
      }
      crashes.erase(least);
    }
    crashes[report.crash] = added;
    return true;
  }
  crash& held = found->second;
  const bool is_news =
      report.depth > held.depth || (report.is_refuted && !held.is_refuted);
  held.depth = std::max(held.depth, report.depth);
  held.is_refuted |= report.is_refuted;
  return is_news;
}

std::vector<crash_report> crash_ledger::Refute(
    time_point now, const request_fingerprint& request) {
  std::vector<crash_report> changed;
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) {
    return changed;
  }
  for (auto& [id, each] : found->second.crashes) {
    if (!each.is_refuted) {
      each.is_refuted = true;
      changed.push_back({request, id, each.depth, true,
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                             now - each.at)});
    }
  }
  return changed;
}

// Fingerprints are ordered by head first.
bool crash_ledger::IsHeadKnown(std::uint64_t head) const {
  for (auto found = suspects_.lower_bound({head, {}});
       found != suspects_.end() && found->first.head == head; ++found) {
    if (found->second.Unrefuted() > 0) {
      return true;
    }
  }
  return false;
}

std::uint32_t crash_ledger::CrashesOf(
    const request_fingerprint& request) const {
  const auto found = suspects_.find(request);
  return found == suspects_.end() ? 0 : found->second.Unrefuted();
}

request_standing crash_ledger::StandingOf(
    time_point now, const request_fingerprint& request) const {
  const auto found = suspects_.find(request);
  return found == suspects_.end() ? request_standing::kAllowed
                                  : StandingOf(now, found->second);
}

request_standing crash_ledger::StandingOf(time_point now,
                                          const suspect& known) {
  const std::uint32_t crashes = known.Unrefuted();
  if (crashes < kCrashesToQuarantine || known.Depth() < kDepthToQuarantine) {
    return request_standing::kAllowed;
  }
  const bool is_trial_due = now - known.LastEvent() >= TrialDelay(crashes);
  return is_trial_due ? request_standing::kTrialDue
                      : request_standing::kQuarantined;
}

void crash_ledger::BeginTrial(time_point now,
                              const request_fingerprint& request) {
  const auto found = suspects_.find(request);
  if (found != suspects_.end()) {
    found->second.trial_began_at = now;
  }
}

std::vector<crash_report> crash_ledger::ReportsOf(
    time_point now, const request_fingerprint& request) const {
  std::vector<crash_report> reports;
  const auto found = suspects_.find(request);
  if (found != suspects_.end()) {
    AddReports(now, request, found->second, reports);
  }
  return reports;
}

void crash_ledger::AddReports(time_point now,
                              const request_fingerprint& request,
                              const suspect& known,
                              std::vector<crash_report>& reports) {
  for (const auto& [id, each] : known.crashes) {
    reports.push_back(
        {request, id, each.depth, each.is_refuted,
         std::chrono::duration_cast<std::chrono::milliseconds>(now - each.at)});
  }
}

std::vector<crash_report> crash_ledger::Summary(time_point now) const {
  std::vector<suspect_map::const_iterator> order;
  for (auto each = suspects_.begin(); each != suspects_.end(); ++each) {
    if (each->second.Unrefuted() > 0) {
      order.push_back(each);
    }
  }
  std::sort(order.begin(), order.end(),
            [](const auto& left, const auto& right) {
              return left->second.Rank() > right->second.Rank();
            });
  std::vector<crash_report> reports;
  for (const auto& each : order) {
    if (reports.size() + each->second.crashes.size() > kMaximumSummary) {
      break;
    }
    AddReports(now, each->first, each->second, reports);
  }
  return reports;
}

std::size_t crash_ledger::QuarantinedCount(time_point now) const {
  return static_cast<std::size_t>(
      std::count_if(suspects_.begin(), suspects_.end(), [&](const auto& each) {
        return StandingOf(now, each.second) != request_standing::kAllowed;
      }));
}

void crash_ledger::Forget(time_point now) {
  if (now < next_cleanup_) {
    return;
  }
  next_cleanup_ = now + kCleanupInterval;
  std::erase_if(suspects_, [now](const auto& each) {
    const duration age = now - each.second.LastEvent();
    return each.second.Depth() >= kDepthToQuarantine ? age > kLifetime
                                                     : age > kSuspectLifetime;
  });
}

// Gives up the least suspect request for a more suspect one; false if there is
// none.
bool crash_ledger::MakeRoomFor(const crash_report& report) {
  if (suspects_.size() < kMaximumRequests) {
    return true;
  }
  const auto least =
      std::min_element(suspects_.begin(), suspects_.end(),
                       [](const auto& left, const auto& right) {
                         return left.second.Rank() < right.second.Rank();
                       });
  if (report.is_refuted || least->second.Depth() >= report.depth) {
    return false;
  }
  suspects_.erase(least);
  return true;
}

}  // namespace wagtailmount
