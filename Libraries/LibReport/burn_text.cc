#include "LibReport/burn_text.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace wagtailmount {

namespace {

using nlohmann::json;

constexpr int kNameWidth = 24;
constexpr int kObjectiveWidth = 13;
constexpr int kTargetWidth = 9;
constexpr int kCountWidth = 18;
constexpr int kRateWidth = 9;
constexpr double kMillisecondsPerSecond = 1'000;
constexpr std::string_view kFleetName = "(fleet)";

double WorstRate(const scope_burn& scope) {
  double worst = 0;
  for (const auto& objective : scope.objectives) {
    worst = std::max(
        worst, std::min(objective.brief.Rate(), objective.extended.Rate()));
  }
  return worst;
}

bool HasEvents(const scope_burn& scope) {
  return std::any_of(
      scope.objectives.begin(), scope.objectives.end(),
      [](const objective_burn& each) { return each.extended.events > 0; });
}

void PrintScope(const scope_burn& scope, std::ostream& out) {
  for (const auto& each : scope.objectives) {
    out << std::setw(kNameWidth)
        << (scope.name.empty() ? std::string(kFleetName) : scope.name)
        << std::setw(kObjectiveWidth) << NameOf(each.kind)
        << std::setw(kTargetWidth) << each.target_share
        << std::setw(kCountWidth)
        << std::to_string(each.extended.bad) + " of " +
               std::to_string(each.extended.events)
        << std::setw(kRateWidth) << each.brief.Rate() << std::setw(kRateWidth)
        << each.extended.Rate() << NameOf(each.State()) << "\n";
  }
}

void PrintNodes(const burn_report& report, std::ostream& out) {
  out << report.answering.size() << " nodes answered, " << report.silent.size()
      << " did not; " << report.restarts << " restarts in the window\n";
  for (const auto& node : report.silent) {
    out << "  no answer: " << node.node << ": " << node.reason << "\n";
  }
  for (const auto& name : report.unknown_services) {
    out << "  counted, but not in the configuration: " << name << "\n";
  }
}

json ToJson(const burn_count& count) {
  return {{"events", count.events},
          {"bad", count.bad},
          {"allowed", count.allowed},
          {"rate", count.Rate()}};
}

json ToJson(const std::vector<burn_point>& points) {
  json list = json::array();
  for (const auto& point : points) {
    list.push_back({{"unix_ms", point.unix_ms}, {"value", point.value}});
  }
  return list;
}

json ToJson(const scope_burn& scope) {
  json objectives = json::array();
  for (const auto& each : scope.objectives) {
    objectives.push_back({{"objective", NameOf(each.kind)},
                          {"target_share", each.target_share},
                          {"short", ToJson(each.brief)},
                          {"long", ToJson(each.extended)},
                          {"state", NameOf(each.State())},
                          {"rates", ToJson(each.rates)}});
  }
  return {{"name", scope.name}, {"objectives", std::move(objectives)}};
}

json ToJson(const std::vector<silent_node>& nodes) {
  json list = json::array();
  for (const auto& node : nodes) {
    list.push_back({{"node", node.node}, {"reason", node.reason}});
  }
  return list;
}

}  // namespace

std::vector<const scope_burn*> ServicesByBurn(const burn_report& report) {
  std::vector<const scope_burn*> services;
  for (const auto& each : report.services) {
    if (HasEvents(each)) {
      services.push_back(&each);
    }
  }
  std::stable_sort(services.begin(), services.end(),
                   [](const scope_burn* left, const scope_burn* right) {
                     return WorstRate(*left) > WorstRate(*right);
                   });
  return services;
}

std::string DescribeCoverage(const burn_report& report) {
  const auto seconds_since = [&report](std::int64_t begin) {
    std::ostringstream text;
    text << static_cast<double>(report.end_unix_ms - begin) /
                kMillisecondsPerSecond;
    return text.str();
  };
  return "short window " + std::to_string(report.windows.brief.count()) +
         " s (covered: " + seconds_since(report.brief_begin_unix_ms) +
         " s), long window " + std::to_string(report.windows.extended.count()) +
         " s (covered: " + seconds_since(report.begin_unix_ms) + " s)";
}

std::string ToText(const burn_report& report) {
  std::ostringstream out;
  out << std::left << std::setprecision(4);
  out << DescribeCoverage(report) << "\n";
  PrintNodes(report, out);
  out << std::setw(kNameWidth) << "SERVICE" << std::setw(kObjectiveWidth)
      << "OBJECTIVE" << std::setw(kTargetWidth) << "TARGET"
      << std::setw(kCountWidth) << "BAD (LONG)" << std::setw(kRateWidth)
      << "SHORT" << std::setw(kRateWidth) << "LONG"
      << "STATE\n";
  PrintScope(report.fleet, out);
  const auto services = ServicesByBurn(report);
  for (std::size_t i = 0; i < std::min(services.size(), kMostServicesShown);
       ++i) {
    PrintScope(*services[i], out);
  }
  if (services.size() > kMostServicesShown) {
    out << "and " << services.size() - kMostServicesShown
        << " services that burn less\n";
  }
  out << "control: " << report.control_bytes_per_node_second
      << " bytes a second and node\n";
  return out.str();
}

json ToJson(const burn_report& report) {
  json services = json::array();
  for (const auto& each : report.services) {
    services.push_back(ToJson(each));
  }
  return {
      {"begin_unix_ms", report.begin_unix_ms},
      {"short_begin_unix_ms", report.brief_begin_unix_ms},
      {"end_unix_ms", report.end_unix_ms},
      {"short_window_s", report.windows.brief.count()},
      {"long_window_s", report.windows.extended.count()},
      {"answering", report.answering},
      {"silent", ToJson(report.silent)},
      {"restarts", report.restarts},
      {"unknown_services", report.unknown_services},
      {"fleet", ToJson(report.fleet)},
      {"services", std::move(services)},
      {"control_bytes_per_node_second", report.control_bytes_per_node_second},
      {"control_bytes", ToJson(report.control_bytes)},
      {"state", NameOf(report.WorstState())}};
}

}  // namespace wagtailmount
