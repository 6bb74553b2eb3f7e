#include <nlohmann/json.hpp>

#include "LibConfig/config_limits.h"
#include "LibConfig/entry_parsers.h"

namespace wagtailmount::detail {

namespace {

using std::chrono::milliseconds;

std::uint32_t ReadCount(json_object_reader& reader, std::string_view key,
                        std::uint32_t fallback, std::uint32_t lowest,
                        std::uint32_t highest) {
  return static_cast<std::uint32_t>(
      reader.OptionalNumber(key, fallback, lowest, highest));
}

milliseconds ReadMilliseconds(json_object_reader& reader, std::string_view key,
                              milliseconds fallback, std::uint32_t lowest,
                              std::uint32_t highest) {
  return milliseconds(reader.OptionalNumber(
      key, static_cast<std::uint64_t>(fallback.count()), lowest, highest));
}

cold_start_policy ParseColdStart(json_object_reader& service) {
  cold_start_policy policy;
  const nlohmann::json* object = service.OptionalObject("cold_start");
  if (object == nullptr) {
    return policy;
  }
  json_object_reader reader(*object, service.PathOf("cold_start"),
                            service.Faults());
  policy.period = ReadMilliseconds(reader, "period_ms", policy.period, 0,
                                   kLongestSlowStartMilliseconds);
  policy.requests_a_second =
      reader.OptionalFraction("requests_a_second", policy.requests_a_second,
                              0.0, kMostColdRequestsASecond);
  reader.RefuseUnknownMembers();
  return policy;
}

upstream_limits ParseLimits(json_object_reader& reader) {
  upstream_limits limits;
  limits.slots = ReadCount(reader, "slots", limits.slots, 1, kMostSlots);
  limits.connections =
      ReadCount(reader, "connections", limits.connections, 1, kMostConnections);
  limits.queue = ReadCount(reader, "queue", limits.queue, 0, kMostQueued);
  limits.slow_start =
      ReadMilliseconds(reader, "slow_start_ms", limits.slow_start, 0,
                       kLongestSlowStartMilliseconds);
  limits.cold_start = ParseColdStart(reader);
  if (limits.connections < limits.slots) {
    reader.AddFault("connections",
                    "must be at least \"slots\", for each running request "
                    "holds a connection");
  }
  return limits;
}

service_level ParseLevel(const nlohmann::json& object, std::string path,
                         std::vector<document_fault>& faults) {
  json_object_reader reader(object, std::move(path), faults);
  service_level level;
  level.success_share =
      reader.OptionalFraction("success_share", level.success_share,
                              kLowestTargetShare, kHighestTargetShare);
  level.latency = ReadMilliseconds(reader, "latency_ms", level.latency, 1,
                                   kLongestDeadlineMilliseconds);
  level.latency_share =
      reader.OptionalFraction("latency_share", level.latency_share,
                              kLowestTargetShare, kHighestTargetShare);
  level.convergence =
      ReadMilliseconds(reader, "convergence_ms", level.convergence, 1,
                       kLongestConvergenceMilliseconds);
  reader.RefuseUnknownMembers();
  return level;
}

}  // namespace

entry_value ParseService(std::string_view name, std::string_view team,
                         json_object_reader& reader) {
  auto parsed = std::make_shared<service>();
  parsed->name = name;
  parsed->team = team;
  parsed->limits = ParseLimits(reader);
  const nlohmann::json* level = reader.OptionalObject("level");
  if (level != nullptr) {
    parsed->level = ParseLevel(*level, reader.PathOf("level"), reader.Faults());
  }
  return std::shared_ptr<const service>(std::move(parsed));
}

}  // namespace wagtailmount::detail
