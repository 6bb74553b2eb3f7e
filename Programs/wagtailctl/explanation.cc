#include "wagtailctl/explanation.h"

#include <string_view>

namespace wagtailmount {

namespace {

using nlohmann::json;

std::string ExplainHeld(const std::string& vm, const json& held) {
  return vm + " holds revision " +
         std::to_string(held.value("revision", std::uint64_t{0})) + " (" +
         held.value("digest", "").substr(0, 12) + "), which came from " +
         held.value("from", "an unknown source") + " over " +
         std::to_string(held.value("hops", 0)) + " links, " +
         std::to_string(held.value("source_age_ms", std::int64_t{0})) +
         " ms after a reader last confirmed it at the platform.";
}

std::string ExplainNothingHeld(const std::string& vm, const json& status) {
  return vm + " holds no configuration and refuses requests as not run; it " +
         "has " + std::to_string(status.value("peers", 0)) +
         " peers and its phase is " + status.value("phase", "unknown") + ".";
}

void ExplainRefusals(const json& refusals, std::uint64_t held,
                     std::vector<std::string>& sentences) {
  for (const auto& refused : refusals.value("refusals", json::array())) {
    const auto revision = refused.value("revision", std::uint64_t{0});
    if (revision <= held) {
      continue;
    }
    for (const auto& reason : refused.value("reasons", json::array())) {
      sentences.push_back("Revision " + std::to_string(revision) +
                          " is refused: " + reason.value("file", "") + ": " +
                          reason.value("path", "") + ": " +
                          reason.value("reason", "") + ".");
    }
  }
}

std::string ExplainPlatform(const json& status) {
  const json reader = status.value("reader", json::object());
  const json age = status.value("source_age_ms", json(nullptr));
  const std::string confirmed =
      age.is_null() ? "No node that it has heard of has reached the platform."
                    : "The platform last confirmed its newest revision " +
                          age.dump() + " ms ago, to this node or one it heard.";
  return confirmed + (reader.value("reads", false)
                          ? " This node reads from the platform itself, which "
                            "it sees as " +
                                reader.value("platform", "unknown") + "."
                          : " This node does not read from the platform.");
}

std::string ExplainEvacuations(const json& names) {
  std::string sentence = "No request starts at a backend server in";
  std::string separator = " ";
  for (const auto& name : names) {
    sentence += separator + name.get<std::string>();
    separator = ", ";
  }
  return sentence + ": evacuated.";
}

struct choice_phrase {
  std::string_view word;
  std::string_view phrase;
};

/// What the words of /v1/decisions mean.
constexpr choice_phrase kChoicePhrases[] = {
    {"near", "the better of two in the nearest failure domain"},
    {"spill-over",
     "a farther failure domain, since the nearest one cost more by own "
     "observation"},
    {"only-ejected-left", "an ejected upstream, since only such were left"},
    {"suspect",
     "an upstream not heard of for a while, since no other was left"},
};

std::string PhraseOf(const std::string& word) {
  for (const auto& known : kChoicePhrases) {
    if (known.word == word) {
      return std::string(known.phrase);
    }
  }
  return word;
}

std::string ExplainDecision(const json& decision) {
  const std::string upstream = decision.value("upstream", "");
  const std::string reason = decision.value("reason", "");
  std::string sentence =
      "Request " + decision.value("request_id", "") + " took route \"" +
      decision.value("route", "") + "\" to service \"" +
      decision.value("service", "") + "\" in " +
      std::to_string(decision.value("attempts", 0)) + " attempts";
  if (!upstream.empty()) {
    sentence += "; the last one went to " + upstream + ", chosen as " +
                PhraseOf(decision.value("why", ""));
  }
  sentence += ". Its verdict is " + decision.value("verdict", "");
  const bool is_answered = reason.empty() || reason == "none";
  return sentence + (is_answered ? "." : ", for the reason " + reason + ".");
}

}  // namespace

std::vector<std::string> ExplainRequest(const json& decisions,
                                        const std::string& request_id) {
  std::vector<std::string> sentences;
  for (const auto& decision : decisions.value("decisions", json::array())) {
    if (decision.value("request_id", "") == request_id) {
      sentences.push_back(ExplainDecision(decision));
    }
  }
  return sentences;
}

std::vector<std::string> ExplainHeldVersion(const node_facts& facts) {
  const std::string vm = facts.status.value("vm", "the node");
  const json held = facts.status.value("held", json(nullptr));
  const std::uint64_t revision =
      held.is_object() ? held.value("revision", std::uint64_t{0}) : 0;
  const auto newest = facts.status.value("newest_seen", std::uint64_t{0});
  std::vector<std::string> sentences;
  sentences.push_back(held.is_object() ? ExplainHeld(vm, held)
                                       : ExplainNothingHeld(vm, facts.status));
  ExplainRefusals(facts.refusals, revision, sentences);
  if (newest <= revision) {
    sentences.push_back("It has heard of no newer revision.");
  } else if (sentences.size() == 1) {
    sentences.push_back("It has heard of revision " + std::to_string(newest) +
                        " but has not received it whole yet.");
  }
  sentences.push_back(ExplainPlatform(facts.status));
  const json evacuated =
      facts.status.value("evacuated_failure_domains", json::array());
  if (!evacuated.empty()) {
    sentences.push_back(ExplainEvacuations(evacuated));
  }
  return sentences;
}

}  // namespace wagtailmount
