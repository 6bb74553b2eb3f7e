#include <algorithm>
#include <nlohmann/json.hpp>

#include "LibBase/text.h"
#include "LibConfig/config_limits.h"
#include "LibConfig/entry_parsers.h"
#include "LibConfig/name_rules.h"

namespace wagtailmount::detail {

namespace {

entry_value ParseRetryPolicy(std::string_view name,
                             json_object_reader& reader) {
  auto parsed = std::make_shared<retry_policy>();
  parsed->name = name;
  parsed->attempts = static_cast<std::uint32_t>(
      reader.OptionalNumber("attempts", parsed->attempts, 1, kMostAttempts));
  parsed->budget_share =
      reader.OptionalFraction("budget_share", parsed->budget_share, 0.0, 1.0);
  return std::shared_ptr<const retry_policy>(std::move(parsed));
}

bool HasField(const header_set& set, std::string_view name) {
  return std::any_of(set.fields.begin(), set.fields.end(),
                     [name](const header_field& each) {
                       return EqualsIgnoringCase(each.name, name);
                     });
}

/// Why this header field is invalid, or nullopt. `set` has the fields before
/// it.
std::optional<std::string> FaultOfField(const header_set& set,
                                        const std::string& name,
                                        const nlohmann::json& value) {
  if (auto fault = FaultOfHeaderName(name)) {
    return fault;
  }
  if (HasField(set, name)) {
    return "is given twice; the case of letters does not count";
  }
  if (!value.is_string()) {
    return "must be a text";
  }
  return FaultOfHeaderValue(value.get_ref<const std::string&>());
}

entry_value ParseHeaderSet(std::string_view name, json_object_reader& reader) {
  auto parsed = std::make_shared<header_set>();
  parsed->name = name;
  const nlohmann::json* fields = reader.OptionalObject("fields");
  if (fields == nullptr || fields->empty()) {
    reader.AddFault("fields", "must hold at least one header field");
    return std::shared_ptr<const header_set>(std::move(parsed));
  }
  if (fields->size() > kMostHeaderFields) {
    reader.AddFault("fields", "must hold at most " +
                                  std::to_string(kMostHeaderFields) +
                                  " header fields");
  }
  for (const auto& [field, value] : fields->items()) {
    if (auto fault = FaultOfField(*parsed, field, value)) {
      reader.AddFault("fields." + field, std::move(*fault));
      continue;
    }
    parsed->fields.push_back({field, value.get<std::string>()});
  }
  return std::shared_ptr<const header_set>(std::move(parsed));
}

}  // namespace

entry_value ParseResource(std::string_view name, std::string_view /*team*/,
                          json_object_reader& reader) {
  const std::string kind = reader.OptionalText("kind", "");
  if (kind == "retry_policy") {
    return ParseRetryPolicy(name, reader);
  }
  if (kind == "header_set") {
    return ParseHeaderSet(name, reader);
  }
  reader.AddFault("kind", "must be \"retry_policy\" or \"header_set\"");
  reader.AcceptAllMembers();
  return std::shared_ptr<const retry_policy>();
}

}  // namespace wagtailmount::detail
