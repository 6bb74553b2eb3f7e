#include "LibReport/burn_report.h"

#include <algorithm>
#include <set>
#include <utility>

namespace wagtailmount {

namespace {

constexpr double kMillisecondsPerSecond = 1'000;

/// How one objective of a service is counted.
struct objective_form {
  objective_kind kind;
  double service_level::*target_share;
  std::uint64_t service_counters::*bad;
};

constexpr objective_form kServiceObjectives[] = {
    {objective_kind::kSuccess, &service_level::success_share,
     &service_counters::failed},
    {objective_kind::kLatency, &service_level::latency_share,
     &service_counters::slow},
};

burn_count CountOf(std::uint64_t events, std::uint64_t bad,
                   double target_share) {
  return {events, bad, static_cast<double>(events) * (1 - target_share)};
}

burn_count CountConvergence(const round_increase& increase) {
  return CountOf(increase.changes, increase.late_changes,
                 kConvergenceTargetShare);
}

burn_count CountService(const round_increase& increase, const service& each,
                        const objective_form& form) {
  const auto found = std::lower_bound(
      increase.services.begin(), increase.services.end(), each.name,
      [](const service_counters& counters, const std::string& name) {
        return counters.service < name;
      });
  if (found == increase.services.end() || found->service != each.name) {
    return {};
  }
  return CountOf(found->requests, (*found).*form.bad,
                 each.level.*form.target_share);
}

/// Adds the count of one round to an objective.
void AddRound(const burn_count& count, const round_increase& increase,
              std::int64_t brief_begin_unix_ms, objective_burn& burn) {
  burn.extended += count;
  if (increase.begin_unix_ms >= brief_begin_unix_ms) {
    burn.brief += count;
  }
  if (count.events > 0) {
    burn.rates.push_back({increase.end_unix_ms, count.Rate()});
  }
}

/// Measures the rounds of the long window.
class burn_calculation {
 public:
  burn_calculation(std::span<const round_increase> increases,
                   const configuration& accepted, burn_report& report)
      : increases_(increases), accepted_(accepted), report_(report) {}

  void Run() {
    for (const auto& each : accepted_.Services()) {
      AddService(*each);
    }
    AddFleet();
    AddControlBytes();
    NameUnknownServices();
  }

 private:
  objective_burn Measure(const service& each, const objective_form& form) {
    objective_burn burn;
    burn.kind = form.kind;
    burn.target_share = each.level.*form.target_share;
    for (const auto& increase : increases_) {
      AddRound(CountService(increase, each, form), increase,
               report_.brief_begin_unix_ms, burn);
    }
    return burn;
  }

  void AddService(const service& each) {
    scope_burn scope;
    scope.name = each.name;
    for (const auto& form : kServiceObjectives) {
      scope.objectives.push_back(Measure(each, form));
    }
    report_.services.push_back(std::move(scope));
  }

  /// The fleet's budget is the sum of its services' budgets, so each call
  /// counts by the target of its own service.
  objective_burn MeasureFleet(const objective_form& form) {
    objective_burn burn;
    burn.kind = form.kind;
    for (const auto& increase : increases_) {
      burn_count sum;
      for (const auto& each : accepted_.Services()) {
        sum += CountService(increase, *each, form);
      }
      AddRound(sum, increase, report_.brief_begin_unix_ms, burn);
    }
    burn.target_share = burn.extended.events == 0
                            ? 0
                            : 1 - burn.extended.allowed /
                                      static_cast<double>(burn.extended.events);
    return burn;
  }

  void AddFleet() {
    for (const auto& form : kServiceObjectives) {
      report_.fleet.objectives.push_back(MeasureFleet(form));
    }
    objective_burn convergence;
    convergence.kind = objective_kind::kConvergence;
    convergence.target_share = kConvergenceTargetShare;
    for (const auto& increase : increases_) {
      AddRound(CountConvergence(increase), increase,
               report_.brief_begin_unix_ms, convergence);
      report_.restarts += increase.restarts;
    }
    report_.fleet.objectives.push_back(std::move(convergence));
  }

  void AddControlBytes() {
    double bytes = 0;
    double node_seconds = 0;
    for (const auto& increase : increases_) {
      const double seconds =
          static_cast<double>(increase.end_unix_ms - increase.begin_unix_ms) /
          kMillisecondsPerSecond;
      const double spent = seconds * increase.nodes;
      const auto counted = static_cast<double>(increase.control_bytes);
      bytes += counted;
      node_seconds += spent;
      if (spent > 0) {
        report_.control_bytes.push_back(
            {increase.end_unix_ms, counted / spent});
      }
    }
    report_.control_bytes_per_node_second =
        node_seconds > 0 ? bytes / node_seconds : 0;
  }

  void NameUnknownServices() {
    std::set<std::string> unknown;
    for (const auto& increase : increases_) {
      for (const auto& each : increase.services) {
        if (accepted_.FindService(each.service) == nullptr) {
          unknown.insert(each.service);
        }
      }
    }
    report_.unknown_services.assign(unknown.begin(), unknown.end());
  }

  std::span<const round_increase> increases_;
  const configuration& accepted_;
  burn_report& report_;
};

/// The increases that lie within the window by half of their time at least. A
/// longer one tells nothing of the window, as after a gap between rounds.
std::span<const round_increase> WindowOf(
    std::span<const round_increase> increases, std::int64_t end_unix_ms,
    std::chrono::seconds length) {
  const std::int64_t begin =
      end_unix_ms - std::chrono::milliseconds(length).count();
  const auto first = std::find_if(
      increases.begin(), increases.end(), [begin](const auto& each) {
        const std::int64_t within =
            each.end_unix_ms - std::max(each.begin_unix_ms, begin);
        return 2 * within >= each.end_unix_ms - each.begin_unix_ms;
      });
  return {first, increases.end()};
}

std::int64_t BeginOf(std::span<const round_increase> window,
                     std::int64_t end_unix_ms) {
  return window.empty() ? end_unix_ms : window.front().begin_unix_ms;
}

}  // namespace

std::string_view NameOf(objective_kind kind) {
  switch (kind) {
    case objective_kind::kSuccess:
      return "success";
    case objective_kind::kLatency:
      return "latency";
    case objective_kind::kConvergence:
      return "convergence";
  }
  return "unknown";
}

std::string_view NameOf(burn_state state) {
  switch (state) {
    case burn_state::kNoData:
      return "no data";
    case burn_state::kWithinBudget:
      return "within budget";
    case burn_state::kBurning:
      return "burning";
    case burn_state::kBurningFast:
      return "burning fast";
  }
  return "unknown";
}

burn_count& burn_count::operator+=(const burn_count& other) {
  events += other.events;
  bad += other.bad;
  allowed += other.allowed;
  return *this;
}

burn_state objective_burn::State() const {
  if (brief.events == 0 || extended.events == 0) {
    return burn_state::kNoData;
  }
  const double rate = std::min(brief.Rate(), extended.Rate());
  if (rate >= kFastBurn) {
    return burn_state::kBurningFast;
  }
  return rate >= 1 ? burn_state::kBurning : burn_state::kWithinBudget;
}

burn_state burn_report::WorstState() const {
  burn_state worst = burn_state::kNoData;
  const auto look_at = [&worst](const scope_burn& scope) {
    for (const auto& objective : scope.objectives) {
      worst = std::max(worst, objective.State());
    }
  };
  look_at(fleet);
  std::for_each(services.begin(), services.end(), look_at);
  return worst;
}

burn_report MakeBurnReport(std::span<const sample_round> rounds,
                           const configuration& accepted,
                           const burn_windows& windows) {
  burn_report report;
  report.windows = windows;
  if (rounds.empty()) {
    return report;
  }
  const sample_round& last = rounds.back();
  report.end_unix_ms = last.taken_unix_ms;
  report.silent = last.silent;
  for (const auto& node : last.nodes) {
    report.answering.push_back(node.vm);
  }
  const auto increases = IncreasesOf(rounds);
  const auto in_window =
      WindowOf(increases, report.end_unix_ms, windows.extended);
  report.begin_unix_ms = BeginOf(in_window, report.end_unix_ms);
  report.brief_begin_unix_ms =
      BeginOf(WindowOf(increases, report.end_unix_ms, windows.brief),
              report.end_unix_ms);
  burn_calculation(in_window, accepted, report).Run();
  return report;
}

}  // namespace wagtailmount
