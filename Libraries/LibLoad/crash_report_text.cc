#include "LibLoad/crash_report_text.h"

#include <array>
#include <limits>

#include "LibLoad/crash_ledger.h"
#include "LibLoad/number_list.h"

namespace wagtailmount {

namespace {

constexpr std::uint64_t kMaximumNumber =
    std::numeric_limits<std::uint32_t>::max();

std::optional<crash_report> ParseOne(std::string_view text,
                                     const request_fingerprint& request) {
  std::array<std::uint64_t, 4> numbers{};
  const bool is_readable = ParseNumberList(text, numbers);
  const auto [crash, depth, refuted, age_ms] = numbers;
  if (!is_readable || depth > kMaximumNumber || refuted > 1 ||
      age_ms > kMaximumNumber) {
    return std::nullopt;
  }
  return crash_report{request, crash, static_cast<std::uint32_t>(depth),
                      refuted == 1, std::chrono::milliseconds{age_ms}};
}

}  // namespace

std::string FormatCrashReports(std::span<const crash_report> reports) {
  std::string text;
  for (const crash_report& each : reports) {
    text += text.empty() ? "" : ",";
    text += std::to_string(each.crash);
    text += ' ';
    text += std::to_string(each.depth);
    text += each.is_refuted ? " 1 " : " 0 ";
    text += std::to_string(each.age.count());
  }
  return text;
}

std::optional<std::vector<crash_report>> ParseCrashReports(
    std::string_view text, const request_fingerprint& request) {
  std::vector<crash_report> reports;
  while (!text.empty()) {
    const std::size_t end = text.find(',');
    const auto report = ParseOne(text.substr(0, end), request);
    if (!report || reports.size() == crash_ledger::kMaximumCrashesOfRequest) {
      return std::nullopt;
    }
    reports.push_back(*report);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  }
  return reports;
}

}  // namespace wagtailmount
