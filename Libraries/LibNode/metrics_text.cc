#include "LibNode/metrics_text.h"

#include <array>
#include <string_view>

namespace wagtailmount {

namespace {

struct named_counter {
  std::string_view name;
  std::uint64_t traffic_counters::*value;
};

constexpr std::array<named_counter, 22> kTrafficCounters{{
    {"requests_total", &traffic_counters::requests},
    {"answered_ran_total", &traffic_counters::answered_ran},
    {"answered_may_have_run_total", &traffic_counters::answered_may_have_run},
    {"answered_not_run_total", &traffic_counters::answered_not_run},
    {"bad_requests_total", &traffic_counters::bad_requests},
    {"attempts_total", &traffic_counters::attempts},
    {"retries_total", &traffic_counters::retries},
    {"retries_over_budget_total", &traffic_counters::retries_over_budget},
    {"owner_admitted_total", &traffic_counters::owner_admitted},
    {"owner_admitted_limited_total", &traffic_counters::owner_admitted_limited},
    {"owner_admitted_cold_total", &traffic_counters::owner_admitted_cold},
    {"owner_refused_total", &traffic_counters::owner_refused},
    {"owner_refused_evacuated_total",
     &traffic_counters::owner_refused_evacuated},
    {"late_answers_dropped_total", &traffic_counters::late_answers_dropped},
    {"backend_crashes_total", &traffic_counters::backend_crashes},
    {"refused_quarantined_total", &traffic_counters::refused_quarantined},
    {"closed_crowded_total", &traffic_counters::closed_crowded},
    {"pipelined_requests_total", &traffic_counters::pipelined_requests},
    {"pipelined_cancelled_total", &traffic_counters::pipelined_cancelled},
    {"pipelined_waiting_bytes", &traffic_counters::pipelined_waiting_bytes},
    {"caller_connections", &traffic_counters::caller_connections},
    {"in_flight", &traffic_counters::in_flight},
}};

void AddLine(std::string& text, std::string_view name, std::string_view labels,
             std::int64_t value) {
  text += "wagtailmount_";
  text += name;
  text += labels;
  text += ' ';
  text += std::to_string(value);
  text += '\n';
}

// Adds a line for each cause of an enumeration.
template <typename cause_type, std::size_t size>
void AddCauses(std::string& text, std::string_view name,
               const std::array<std::uint64_t, size>& counts) {
  for (std::size_t cause = 0; cause < size; ++cause) {
    std::string labels = "{cause=\"";
    labels += NameOf(static_cast<cause_type>(cause));
    labels += "\"}";
    AddLine(text, name, labels, static_cast<std::int64_t>(counts.at(cause)));
  }
}

void AddHistogram(std::string& text, const service_counts& counts) {
  const std::string service = "service=\"" + counts.service + "\"";
  std::uint64_t cumulative_count = 0;
  for (std::size_t bucket = 0; bucket < counts.latency_counts.size();
       ++bucket) {
    cumulative_count += counts.latency_counts[bucket];
    const std::string bound =
        bucket < kLatencyBuckets.size()
            ? std::to_string(kLatencyBuckets[bucket].count())
            : "+Inf";
    std::string labels = "{";
    labels += service;
    labels += ",le=\"";
    labels += bound;
    labels += "\"}";
    AddLine(text, "latency_ms_bucket", labels,
            static_cast<std::int64_t>(cumulative_count));
  }
  AddLine(text, "latency_ms_count", "{" + service + "}",
          static_cast<std::int64_t>(cumulative_count));
  AddLine(
      text, "latency_ms_sum", "{" + service + "}",
      std::chrono::duration_cast<std::chrono::milliseconds>(counts.latency_sum)
          .count());
  AddLine(text, "service_failed_total", "{" + service + "}",
          static_cast<std::int64_t>(counts.failed));
}

}  // namespace

std::string MetricsText(const catalog_control& control,
                        const traffic_server& traffic,
                        std::uint64_t dropped_log_lines) {
  std::string text;
  const traffic_counters counters = traffic.Counters();
  for (const named_counter& each : kTrafficCounters) {
    AddLine(text, each.name, "",
            static_cast<std::int64_t>(counters.*each.value));
  }
  AddCauses<close_cause>(text, "closed_total", counters.closed);
  AddCauses<close_cause>(text, "closed_unread_total", counters.closed_unread);
  AddCauses<cut_cause>(text, "requests_cut_total", counters.requests_cut);
  const auto& in_force = control.InForce();
  const auto age = control.SourceAge();
  const auto number = [](std::uint64_t value) {
    return static_cast<std::int64_t>(value);
  };
  AddLine(text, "version", "",
          in_force == nullptr ? 0 : number(in_force->Version().revision));
  AddLine(text, "catalog_complete_to", "", number(control.CompleteTo()));
  AddLine(text, "catalog_era", "", number(control.Era()));
  AddLine(text, "evacuated_failure_domains", "",
          number(control.Evacuations().Names().size()));
  AddLine(text, "catalog_age_ms", "", age ? age->count() : -1);
  AddLine(text, "is_reader", "", control.IsReader() ? 1 : 0);
  AddLine(text, "peers", "", number(control.PeerCount()));
  AddLine(text, "platform_calls_total", "", number(control.PlatformCalls()));
  AddLine(text, "platform_failures_total", "",
          number(control.PlatformFailures()));
  AddLine(text, "log_lines_dropped_total", "", number(dropped_log_lines));
  for (const service_counts& each : traffic.ServiceCounts()) {
    AddHistogram(text, each);
  }
  return text;
}

}  // namespace wagtailmount
