#include "LibLoad/statement_memory.h"

namespace wagtailmount {

namespace {

/// Far longer than a backend server still answers after it stated that it
/// leaves, and than a platform keeps a registration that lapsed.
constexpr std::chrono::minutes kLifetime{10};
constexpr std::chrono::minutes kCleanupInterval{1};

}  // namespace

void statement_memory::SetStart(time_point now, std::string_view id,
                                std::uint64_t incarnation) {
  const auto found = starts_.find(id);
  if (found == starts_.end()) {
    starts_.emplace(std::string{id}, start{incarnation, time_point{}, now});
    return;
  }
  start& known = found->second;
  known.seen_at = now;
  if (known.incarnation == incarnation) {
    return;
  }
  known.incarnation = incarnation;
  known.since = now;
  if (const auto stated = records_.find(id); stated != records_.end()) {
    records_.erase(stated);
  }
}

statement_memory::change statement_memory::Record(
    time_point now, time_point asked_at, std::string_view id,
    const backend_statement& statement) {
  Forget(now);
  if (const auto current = starts_.find(id);
      current != starts_.end() && asked_at < current->second.since) {
    return {};
  }
  const bool states_nothing = !statement.rate_limit && !statement.is_leaving &&
                              !statement.is_rate_limit_malformed;
  auto found = records_.find(id);
  if (found == records_.end()) {
    if (states_nothing) {
      return {};
    }
    found = records_.emplace(std::string{id}, record{}).first;
  }
  record& known = found->second;
  change changed;
  known.recorded_at = now;
  changed.has_become_malformed =
      statement.is_rate_limit_malformed && !known.is_rate_limit_malformed;
  known.is_rate_limit_malformed = statement.is_rate_limit_malformed;
  if (statement.is_leaving && !id.empty() &&
      known.leaving_since == time_point{}) {
    known.leaving_since = now;
    changed.has_begun_to_leave = true;
  }
  if (statement.rate_limit) {
    changed.is_rate_limit_changed = known.rate_limit != statement.rate_limit;
    known.rate_limit = statement.rate_limit;
    known.limit_stated_at = now;
  } else if (known.rate_limit && statement.is_complete &&
             !statement.is_rate_limit_malformed &&
             asked_at > known.limit_stated_at) {
    changed.is_rate_limit_changed = true;
    known.rate_limit.reset();
  }
  return changed;
}

const statement_memory::record* statement_memory::Find(
    std::string_view id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

void statement_memory::Forget(time_point now) {
  if (now < next_cleanup_) {
    return;
  }
  next_cleanup_ = now + kCleanupInterval;
  std::erase_if(records_, [now](const auto& each) {
    return now - each.second.recorded_at > kLifetime;
  });
  std::erase_if(starts_, [now](const auto& each) {
    return now - each.second.seen_at > kLifetime;
  });
}

}  // namespace wagtailmount
