#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "LibReport/burn_report.h"

namespace wagtailmount {

/// Texts and pages show this many services, those that burn most first; JSON
/// holds all.
inline constexpr std::size_t kMostServicesShown = 30;

/// The services with counted calls, those that burn most in both windows first.
std::vector<const scope_burn*> ServicesByBurn(const burn_report& report);

/// The seconds that a window really covers, where rounds reach that far back.
std::string DescribeCoverage(const burn_report& report);

/// The report as a table for terminals.
std::string ToText(const burn_report& report);

/// The report with every service; docs/BURN.md tells the members.
nlohmann::json ToJson(const burn_report& report);

}  // namespace wagtailmount
