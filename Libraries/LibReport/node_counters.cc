#include "LibReport/node_counters.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "LibBase/json_object_reader.h"

namespace wagtailmount {

namespace {

constexpr std::uint64_t kLargestCount =
    std::numeric_limits<std::int64_t>::max();

std::uint64_t ReadCount(json_object_reader& reader, std::string_view key) {
  return reader.OptionalNumber(key, 0, 0, kLargestCount);
}

service_counters ParseService(const std::string& name,
                              const nlohmann::json& object, std::string path,
                              std::vector<document_fault>& faults) {
  json_object_reader reader(object, std::move(path), faults);
  return {name, ReadCount(reader, "requests"), ReadCount(reader, "failed"),
          ReadCount(reader, "slow")};
}

}  // namespace

tl::expected<node_counters, std::vector<document_fault>> ParseNodeCounters(
    const nlohmann::json& answer) {
  std::vector<document_fault> faults;
  json_object_reader reader(answer, "$", faults);
  node_counters counters;
  counters.vm = reader.RequiredText("vm");
  counters.started_unix_ms = static_cast<std::int64_t>(
      reader.RequiredNumber("started_unix_ms", 0, kLargestCount));
  counters.unix_ms = static_cast<std::int64_t>(
      reader.RequiredNumber("unix_ms", 0, kLargestCount));
  counters.control_bytes = ReadCount(reader, "control_bytes");
  if (const auto* services = reader.OptionalObject("services")) {
    for (const auto& [name, object] : services->items()) {
      counters.services.push_back(ParseService(
          name, object, reader.PathOf("services") + "." + name, faults));
    }
  }
  if (const auto* convergence = reader.OptionalObject("convergence")) {
    json_object_reader inner(*convergence, reader.PathOf("convergence"),
                             faults);
    counters.changes = ReadCount(inner, "changes");
    counters.late_changes = ReadCount(inner, "late");
  }
  if (!faults.empty()) {
    return tl::unexpected(std::move(faults));
  }
  return counters;
}

nlohmann::json ToJson(const node_counters& counters) {
  nlohmann::json services = nlohmann::json::object();
  for (const auto& each : counters.services) {
    services[each.service] = {{"requests", each.requests},
                              {"failed", each.failed},
                              {"slow", each.slow}};
  }
  return {{"vm", counters.vm},
          {"started_unix_ms", counters.started_unix_ms},
          {"unix_ms", counters.unix_ms},
          {"services", std::move(services)},
          {"convergence",
           {{"changes", counters.changes}, {"late", counters.late_changes}}},
          {"control_bytes", counters.control_bytes}};
}

}  // namespace wagtailmount
