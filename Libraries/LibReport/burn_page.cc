#include "LibReport/burn_page.h"

#include <algorithm>
#include <sstream>

#include "LibReport/burn_text.h"
#include "LibReport/svg_plot.h"

namespace wagtailmount {

namespace {

constexpr std::string_view kHead =
    "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n"
    "<title>Service-level burn</title>\n<style>\n"
    "body { font: 14px sans-serif; margin: 2em; max-width: 60em; }\n"
    "table { border-collapse: collapse; }\n"
    "td, th { padding: 2px 10px; text-align: left; }\n"
    "tr { border-bottom: 1px solid #dddddd; }\n"
    "svg { display: block; margin: 1em 0; }\n"
    "svg text { font: 11px sans-serif; }\n"
    ".burning { background: #fdebd0; }\n"
    ".burning-fast { background: #f5b7b1; }\n"
    "</style>\n</head>\n<body>\n<h1>Service-level burn</h1>\n";

constexpr double kBudgetJustLasts = 1;

std::string_view ClassOf(burn_state state) {
  switch (state) {
    case burn_state::kBurning:
      return "burning";
    case burn_state::kBurningFast:
      return "burning-fast";
    case burn_state::kNoData:
    case burn_state::kWithinBudget:
      return "";
  }
  return "";
}

std::string NameOfScope(const scope_burn& scope) {
  return scope.name.empty() ? "fleet" : scope.name;
}

void WriteRow(const scope_burn& scope, const objective_burn& each,
              std::ostream& out) {
  out << "<tr class=\"" << ClassOf(each.State()) << "\"><td>"
      << EscapeMarkup(NameOfScope(scope)) << "</td><td>" << NameOf(each.kind)
      << "</td><td>" << each.target_share << "</td><td>" << each.extended.bad
      << " of " << each.extended.events << "</td><td>" << each.brief.Rate()
      << "</td><td>" << each.extended.Rate() << "</td><td>"
      << NameOf(each.State()) << "</td></tr>\n";
}

void WriteTable(const std::vector<const scope_burn*>& scopes,
                std::ostream& out) {
  out << "<table>\n<tr><th>service</th><th>objective</th><th>target</th>"
         "<th>bad (long)</th><th>short</th><th>long</th><th>state</th></tr>\n";
  for (const scope_burn* scope : scopes) {
    for (const auto& each : scope->objectives) {
      WriteRow(*scope, each, out);
    }
  }
  out << "</table>\n";
}

void WriteNodes(const burn_report& report, std::ostream& out) {
  out << "<p>" << report.answering.size() << " nodes answered, "
      << report.silent.size() << " did not; " << report.restarts
      << " restarts in the window.</p>\n";
  if (report.silent.empty()) {
    return;
  }
  out << "<ul>\n";
  for (const auto& node : report.silent) {
    out << "<li>no answer: " << EscapeMarkup(node.node) << ": "
        << EscapeMarkup(node.reason) << "</li>\n";
  }
  out << "</ul>\n";
}

plot PlotOf(const scope_burn& scope) {
  plot drawn{"Burn of " + NameOfScope(scope),
             "1 = the budget just lasts",
             {},
             kBudgetJustLasts};
  for (const auto& each : scope.objectives) {
    drawn.lines.push_back({std::string(NameOf(each.kind)), each.rates});
  }
  return drawn;
}

/// The fleet first, then the services that burn most.
std::vector<const scope_burn*> ShownScopes(const burn_report& report) {
  std::vector<const scope_burn*> scopes{&report.fleet};
  auto services = ServicesByBurn(report);
  services.resize(std::min(services.size(), kMostServicesShown));
  scopes.insert(scopes.end(), services.begin(), services.end());
  return scopes;
}

}  // namespace

std::string ToPage(const burn_report& report) {
  std::ostringstream out;
  out.precision(4);
  out << kHead << "<p>" << EscapeMarkup(DescribeCoverage(report)) << "</p>\n";
  WriteNodes(report, out);
  const auto scopes = ShownScopes(report);
  WriteTable(scopes, out);
  for (const scope_burn* scope : scopes) {
    out << ToSvg(PlotOf(*scope));
  }
  out << ToSvg({"Control traffic",
                "bytes a second and node",
                {{"control bytes", report.control_bytes}},
                {}});
  out << "</body>\n</html>\n";
  return out.str();
}

}  // namespace wagtailmount
