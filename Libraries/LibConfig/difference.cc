#include "LibConfig/difference.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <sstream>

namespace wagtailmount {

namespace {

/// A field of an entry and its value as text.
struct field_text {
  std::string field;
  std::string text;
};

using field_texts = std::vector<field_text>;

std::string ToText(double number) {
  std::ostringstream stream;
  stream << number;
  return stream.str();
}

std::string ToText(std::uint64_t number) { return std::to_string(number); }

std::string ToText(std::chrono::milliseconds period) {
  return std::to_string(period.count());
}

std::string ToText(const std::vector<std::string>& words) {
  std::string text;
  for (const auto& word : words) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

std::string ToText(const retry_policy& policy) {
  return policy.name + " (attempts " + ToText(std::uint64_t{policy.attempts}) +
         ", budget_share " + ToText(policy.budget_share) + ")";
}

std::string ToText(const header_set& set) {
  std::string text;
  for (const auto& field : set.fields) {
    text += (text.empty() ? "" : ", ") + field.name + ": " + field.value;
  }
  return set.name + " (" + text + ")";
}

std::string ToText(request_priority priority) {
  return priority == request_priority::kInteractive ? "interactive"
                                                    : "background";
}

std::string ToText(idempotency value) {
  switch (value) {
    case idempotency::kByMethod:
      return "by-method";
    case idempotency::kAlways:
      return "always";
    case idempotency::kNever:
      return "never";
  }
  return "unknown";
}

field_texts FieldsOf(const service& each) {
  const auto& limits = each.limits;
  const auto& level = each.level;
  return {{"team", each.team},
          {"slots", ToText(std::uint64_t{limits.slots})},
          {"connections", ToText(std::uint64_t{limits.connections})},
          {"queue", ToText(std::uint64_t{limits.queue})},
          {"slow_start_ms", ToText(limits.slow_start)},
          {"cold_start.period_ms", ToText(limits.cold_start.period)},
          {"cold_start.requests_a_second",
           ToText(limits.cold_start.requests_a_second)},
          {"level.success_share", ToText(level.success_share)},
          {"level.latency_ms", ToText(level.latency)},
          {"level.latency_share", ToText(level.latency_share)},
          {"level.convergence_ms", ToText(level.convergence)}};
}

field_texts FieldsOf(const route& each) {
  return {{"team", each.team},
          {"match.host", each.host},
          {"match.path_prefix", each.path_prefix},
          {"match.methods", ToText(each.methods)},
          {"service", each.target->name},
          {"retry", ToText(*each.retry)},
          {"headers", each.headers == nullptr ? "" : ToText(*each.headers)},
          {"priority", ToText(each.priority)},
          {"idempotent", ToText(each.repeatable)},
          {"deadline_ms", ToText(each.deadline)}};
}

field_texts FieldsOf(const evacuation& each) { return {{"team", each.team}}; }

std::vector<field_difference> CompareFields(const field_texts& before,
                                            const field_texts& after) {
  std::vector<field_difference> differences;
  for (std::size_t i = 0; i < std::max(before.size(), after.size()); ++i) {
    const std::string old_text = i < before.size() ? before[i].text : "";
    const std::string new_text = i < after.size() ? after[i].text : "";
    const std::string& field = (i < before.size() ? before : after)[i].field;
    if (old_text != new_text) {
      differences.push_back({field, old_text, new_text});
    }
  }
  return differences;
}

template <typename T>
std::vector<std::shared_ptr<const T>> InNameOrder(
    std::span<const std::shared_ptr<const T>> entries) {
  std::vector<std::shared_ptr<const T>> ordered(entries.begin(), entries.end());
  std::sort(ordered.begin(), ordered.end(),
            [](const auto& left, const auto& right) {
              return left->name < right->name;
            });
  return ordered;
}

/// Appends the difference between two versions of one entry, if any. `before`
/// is null for an added entry, `after` for a removed one.
template <typename T>
void AddDifference(std::string_view section, const T* before, const T* after,
                   std::vector<entry_difference>& differences) {
  auto fields =
      CompareFields(before == nullptr ? field_texts() : FieldsOf(*before),
                    after == nullptr ? field_texts() : FieldsOf(*after));
  if (fields.empty()) {
    return;
  }
  const auto kind = before == nullptr  ? difference_kind::kAdded
                    : after == nullptr ? difference_kind::kRemoved
                                       : difference_kind::kChanged;
  differences.push_back({kind, std::string(section),
                         (before == nullptr ? after : before)->name,
                         std::move(fields)});
}

template <typename T>
void CompareSection(std::string_view section,
                    std::span<const std::shared_ptr<const T>> before,
                    std::span<const std::shared_ptr<const T>> after,
                    std::vector<entry_difference>& differences) {
  const auto old_entries = InNameOrder(before);
  const auto new_entries = InNameOrder(after);
  auto old = old_entries.begin();
  auto next = new_entries.begin();
  while (old != old_entries.end() || next != new_entries.end()) {
    const bool has_old =
        old != old_entries.end() &&
        (next == new_entries.end() || (*old)->name <= (*next)->name);
    const bool has_new =
        next != new_entries.end() &&
        (old == old_entries.end() || (*next)->name <= (*old)->name);
    const T* old_entry = has_old ? old->get() : nullptr;
    const T* new_entry = has_new ? next->get() : nullptr;
    if (old_entry != new_entry) {
      AddDifference(section, old_entry, new_entry, differences);
    }
    old += has_old ? 1 : 0;
    next += has_new ? 1 : 0;
  }
}

}  // namespace

std::string_view NameOf(difference_kind kind) {
  switch (kind) {
    case difference_kind::kAdded:
      return "added";
    case difference_kind::kRemoved:
      return "removed";
    case difference_kind::kChanged:
      return "changed";
  }
  return "unknown";
}

std::vector<entry_difference> CompareConfigurations(
    const configuration& before, const configuration& after) {
  std::vector<entry_difference> differences;
  CompareSection("services", before.Services(), after.Services(), differences);
  CompareSection("routes", before.Routes(), after.Routes(), differences);
  CompareSection("evacuations", before.Evacuations(), after.Evacuations(),
                 differences);
  return differences;
}

}  // namespace wagtailmount
