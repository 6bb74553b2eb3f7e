#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibLoad/crash_report.h"

namespace wagtailmount {

/// Formats the crash reports of one request, whose fingerprint is left out:
/// "CRASH DEPTH REFUTED AGE" each, separated by commas. CRASH and DEPTH are
/// decimal numbers, REFUTED is 0 or 1, AGE is in milliseconds.
std::string FormatCrashReports(std::span<const crash_report> reports);

/// Parses what FormatCrashReports() wrote, as reports of `request`; nothing if
/// it is malformed or has more reports than a node keeps of one request.
std::optional<std::vector<crash_report>> ParseCrashReports(
    std::string_view text, const request_fingerprint& request);

}  // namespace wagtailmount
