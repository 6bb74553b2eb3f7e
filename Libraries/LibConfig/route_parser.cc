#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "LibConfig/config_limits.h"
#include "LibConfig/entry_parsers.h"
#include "LibConfig/name_rules.h"

namespace wagtailmount::detail {

namespace {

constexpr std::array<std::string_view, 7> kMethods{
    "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"};

/// A keyword in a file and the value that it denotes.
template <typename T>
struct choice {
  std::string_view word;
  T value;
};

constexpr std::array<choice<request_priority>, 2> kPriorities{{
    {"interactive", request_priority::kInteractive},
    {"background", request_priority::kBackground},
}};

constexpr std::array<choice<idempotency>, 3> kIdempotencies{{
    {"by-method", idempotency::kByMethod},
    {"always", idempotency::kAlways},
    {"never", idempotency::kNever},
}};

/// Reads a keyword in `choices`. Returns the first one's value if the key is
/// missing or its keyword is unknown.
template <typename T, std::size_t kCount>
T ReadChoice(json_object_reader& reader, std::string_view key,
             const std::array<choice<T>, kCount>& choices) {
  const std::string word = reader.OptionalText(key, choices.front().word);
  std::string known;
  for (const auto& each : choices) {
    if (each.word == word) {
      return each.value;
    }
    known += (known.empty() ? "\"" : ", \"") + std::string(each.word) + "\"";
  }
  reader.AddFault(key, "must be one of " + known);
  return choices.front().value;
}

std::vector<std::string> ReadMethods(json_object_reader& reader) {
  std::vector<std::string> methods = reader.OptionalTexts("methods");
  std::sort(methods.begin(), methods.end());
  const bool are_known =
      std::all_of(methods.begin(), methods.end(), [](const auto& method) {
        return std::binary_search(kMethods.begin(), kMethods.end(), method);
      });
  if (!are_known) {
    reader.AddFault("methods",
                    "may hold only DELETE, GET, HEAD, OPTIONS, PATCH, POST "
                    "and PUT");
  }
  if (std::adjacent_find(methods.begin(), methods.end()) != methods.end()) {
    reader.AddFault("methods", "holds a method twice");
  }
  return methods;
}

void ParseMatch(const nlohmann::json& object, std::string path,
                std::vector<document_fault>& faults, route& parsed) {
  json_object_reader reader(object, std::move(path), faults);
  parsed.host = reader.OptionalText("host", "");
  if (reader.Has("host")) {
    if (auto fault = FaultOfHost(parsed.host)) {
      reader.AddFault("host", std::move(*fault));
    }
  }
  parsed.path_prefix = reader.OptionalText("path_prefix", "/");
  if (auto fault = FaultOfPathPrefix(parsed.path_prefix)) {
    reader.AddFault("path_prefix", std::move(*fault));
  }
  parsed.methods = ReadMethods(reader);
  reader.RefuseUnknownMembers();
}

}  // namespace

entry_value ParseRoute(std::string_view name, std::string_view team,
                       json_object_reader& reader) {
  auto parsed = std::make_shared<unresolved_route>();
  route& settings = parsed->settings;
  settings.name = name;
  settings.team = team;
  settings.path_prefix = "/";
  const nlohmann::json* match = reader.OptionalObject("match");
  if (match != nullptr) {
    ParseMatch(*match, reader.PathOf("match"), reader.Faults(), settings);
  } else if (!reader.Has("match")) {
    reader.AddFault("match", "is missing");
  }
  parsed->service = reader.RequiredText("service");
  parsed->retry = reader.OptionalText("retry", "");
  parsed->headers = reader.OptionalText("headers", "");
  settings.priority = ReadChoice(reader, "priority", kPriorities);
  settings.repeatable = ReadChoice(reader, "idempotent", kIdempotencies);
  settings.deadline = std::chrono::milliseconds(reader.OptionalNumber(
      "deadline_ms", static_cast<std::uint64_t>(settings.deadline.count()), 1,
      kLongestDeadlineMilliseconds));
  return std::shared_ptr<const unresolved_route>(std::move(parsed));
}

}  // namespace wagtailmount::detail
