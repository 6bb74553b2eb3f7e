#include "Tests/LibConfig/folder_model.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>

namespace wagtailmount::testing {

namespace {

struct model_match {
  std::string host;
  std::string prefix;
  std::vector<std::string> methods;
};

const std::array<model_match, 8> kMatches{{
    {"", "/", {}},
    {"", "/a", {}},
    {"", "/a", {"GET"}},
    {"", "/a", {"GET", "PUT"}},
    {"", "/a/b", {"POST"}},
    {"h", "/", {}},
    {"h", "/a", {"GET"}},
    {"i", "/a/b", {"PUT"}},
}};

const model_match& RouteMatch(const model_entry& entry) {
  return kMatches.at(static_cast<std::size_t>(entry.number) % kMatches.size());
}

nlohmann::json RenderMatch(const model_match& match) {
  nlohmann::json json{{"path_prefix", match.prefix},
                      {"methods", match.methods}};
  if (!match.host.empty()) {
    json["host"] = match.host;
  }
  return json;
}

nlohmann::json RenderEntry(const model_entry& entry) {
  nlohmann::json json = nlohmann::json::object();
  switch (entry.kind) {
    case model_kind::kRemoval:
      return nullptr;
    case model_kind::kService:
      json["slots"] = entry.number;
      break;
    case model_kind::kRetryPolicy:
      json = {{"kind", "retry_policy"}, {"attempts", entry.number}};
      break;
    case model_kind::kHeaderSet:
      json = {{"kind", "header_set"},
              {"fields", {{"X-Number", std::to_string(entry.number)}}}};
      break;
    case model_kind::kRoute:
      json = {{"match", RenderMatch(RouteMatch(entry))},
              {"service", entry.service}};
      if (!entry.retry.empty()) {
        json["retry"] = entry.retry;
      }
      if (!entry.headers.empty()) {
        json["headers"] = entry.headers;
      }
      break;
  }
  if (entry.may_override.has_value()) {
    json["may_override"] = *entry.may_override;
  }
  return json;
}

/// The state of an entry after the files merged so far.
struct merged_entry {
  std::string owner;
  std::vector<std::string> may_override;
  model_entry value;
};

using merged_entries = std::map<model_key, merged_entry>;

bool MergeEntry(const model_key& key, const model_entry& entry,
                const std::string& team, merged_entries& states) {
  const auto found = states.find(key);
  if (found == states.end()) {
    states[key] = {
        team, entry.may_override.value_or(std::vector<std::string>{}), entry};
    return entry.kind != model_kind::kRemoval;
  }
  auto& state = found->second;
  state.value = entry;
  if (team == state.owner) {
    state.may_override = entry.may_override.value_or(state.may_override);
    return true;
  }
  return !entry.may_override.has_value() &&
         std::count(state.may_override.begin(), state.may_override.end(),
                    team) > 0;
}

bool HasEntryOfKind(const merged_entries& states, const model_key& key,
                    model_kind kind) {
  const auto found = states.find(key);
  return found != states.end() && found->second.value.kind == kind;
}

bool HasValidReferences(const merged_entries& states,
                        const model_entry& entry) {
  return HasEntryOfKind(states, {"services", entry.service},
                        model_kind::kService) &&
         (entry.retry.empty() ||
          HasEntryOfKind(states, {"resources", entry.retry},
                         model_kind::kRetryPolicy)) &&
         (entry.headers.empty() ||
          HasEntryOfKind(states, {"resources", entry.headers},
                         model_kind::kHeaderSet));
}

std::string FormatLine(const std::string& section, const std::string& name,
                       const std::string& team, int number) {
  return section + " " + name + " " + team + " " + std::to_string(number);
}

std::string FormatEntry(const model_key& key, const merged_entry& state,
                        const merged_entries& states) {
  const model_entry& value = state.value;
  if (value.kind == model_kind::kService) {
    return FormatLine(key.section, key.name, state.owner, value.number);
  }
  const auto number_of = [&states](const model_key& wanted, int fallback) {
    return wanted.name.empty() ? fallback : states.at(wanted).value.number;
  };
  return FormatLine(key.section, key.name, state.owner,
                    number_of({"services", value.service}, 0)) +
         " " + std::to_string(number_of({"resources", value.retry}, 3)) + " " +
         std::to_string(number_of({"resources", value.headers}, 0)) + " " +
         RouteMatch(value).prefix;
}

bool MatchesConflict(const model_match& left, const model_match& right) {
  if (left.host != right.host || left.prefix != right.prefix) {
    return false;
  }
  if (left.methods.empty() || right.methods.empty()) {
    return left.methods.empty() && right.methods.empty();
  }
  return std::find_first_of(left.methods.begin(), left.methods.end(),
                            right.methods.begin(),
                            right.methods.end()) != left.methods.end();
}

}  // namespace

folder Render(const model_folder& files) {
  folder rendered;
  for (const auto& [name, file] : files) {
    nlohmann::json json{{"team", file.team}};
    for (const auto& [key, entry] : file.entries) {
      json[key.section][key.name] = RenderEntry(entry);
    }
    rendered[name] = json.dump();
  }
  return rendered;
}

std::optional<std::string> ExpectedSummary(const model_folder& files) {
  merged_entries states;
  bool is_valid = !files.empty();
  for (const auto& [name, file] : files) {
    for (const auto& [key, entry] : file.entries) {
      is_valid = MergeEntry(key, entry, file.team, states) && is_valid;
    }
  }
  std::vector<model_match> matches;
  std::set<std::string> lines;
  for (const auto& [key, state] : states) {
    if (state.value.kind == model_kind::kRoute) {
      const model_match& match = RouteMatch(state.value);
      is_valid = is_valid && HasValidReferences(states, state.value) &&
                 std::none_of(matches.begin(), matches.end(),
                              [&match](const model_match& other) {
                                return MatchesConflict(match, other);
                              });
      matches.push_back(match);
    }
    const bool is_summarized = state.value.kind == model_kind::kRoute ||
                               state.value.kind == model_kind::kService;
    if (is_valid && is_summarized) {
      lines.insert(FormatEntry(key, state, states));
    }
  }
  if (!is_valid) {
    return std::nullopt;
  }
  std::string text;
  for (const auto& line : lines) {
    text += line + "\n";
  }
  return text;
}

std::string Summarize(const configuration& accepted) {
  std::set<std::string> lines;
  for (const auto& each : accepted.Services()) {
    lines.insert(FormatLine("services", each->name, each->team,
                            static_cast<int>(each->limits.slots)));
  }
  for (const auto& each : accepted.Routes()) {
    lines.insert(
        FormatLine("routes", each->name, each->team,
                   static_cast<int>(each->target->limits.slots)) +
        " " + std::to_string(each->retry->attempts) + " " +
        (each->headers == nullptr ? "0" : each->headers->fields.at(0).value) +
        " " + each->path_prefix);
  }
  std::string text;
  for (const auto& line : lines) {
    text += line + "\n";
  }
  return text;
}

}  // namespace wagtailmount::testing
