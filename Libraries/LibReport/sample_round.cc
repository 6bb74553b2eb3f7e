#include "LibReport/sample_round.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibBase/json_object_reader.h"

namespace wagtailmount {

namespace {

using nlohmann::json;

sample_round ParseRound(const json& document,
                        std::vector<document_fault>& faults) {
  json_object_reader reader(document, "$", faults);
  sample_round round;
  round.taken_unix_ms = static_cast<std::int64_t>(reader.RequiredNumber(
      "taken_unix_ms", 0, std::numeric_limits<std::int64_t>::max()));
  if (const json* nodes = reader.OptionalArray("nodes")) {
    for (const auto& node : *nodes) {
      auto counters = ParseNodeCounters(node);
      if (counters.has_value()) {
        round.nodes.push_back(std::move(*counters));
      } else {
        faults.insert(faults.end(), counters.error().begin(),
                      counters.error().end());
      }
    }
  }
  if (const json* silent = reader.OptionalArray("silent")) {
    for (const auto& node : *silent) {
      json_object_reader inner(node, reader.PathOf("silent"), faults);
      round.silent.push_back(
          {inner.RequiredText("node"), inner.RequiredText("reason")});
    }
  }
  return round;
}

result<sample_round> ParseLine(std::string_view line) {
  const auto document = ParseJsonWithComments(line);
  if (!document.has_value()) {
    return tl::unexpected(document.error());
  }
  std::vector<document_fault> faults;
  sample_round round = ParseRound(*document, faults);
  if (!faults.empty()) {
    return Fail(error_kind::kInvalidInput,
                faults.front().path + " " + faults.front().reason);
  }
  return round;
}

}  // namespace

std::string ToLine(const sample_round& round) {
  json nodes = json::array();
  for (const auto& each : round.nodes) {
    nodes.push_back(ToJson(each));
  }
  json silent = json::array();
  for (const auto& each : round.silent) {
    silent.push_back({{"node", each.node}, {"reason", each.reason}});
  }
  return json{{"taken_unix_ms", round.taken_unix_ms},
              {"nodes", std::move(nodes)},
              {"silent", std::move(silent)}}
             .dump() +
         "\n";
}

result<std::vector<sample_round>> ParseHistory(std::string_view text) {
  std::vector<sample_round> rounds;
  std::size_t number = 0;
  while (!text.empty()) {
    ++number;
    const auto end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.empty()) {
      continue;
    }
    auto round = ParseLine(line);
    if (!round.has_value()) {
      return Fail(error_kind::kInvalidInput,
                  "line " + std::to_string(number) +
                      " of the history: " + round.error().message);
    }
    rounds.push_back(std::move(*round));
  }
  std::stable_sort(rounds.begin(), rounds.end(),
                   [](const sample_round& left, const sample_round& right) {
                     return left.taken_unix_ms < right.taken_unix_ms;
                   });
  return rounds;
}

}  // namespace wagtailmount
