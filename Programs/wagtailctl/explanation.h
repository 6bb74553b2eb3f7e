#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace wagtailmount {

/// What one node said of itself, as the admin interface gives it.
struct node_facts {
  nlohmann::json status;
  nlohmann::json refusals;  ///< The answer to /v1/refusals.
};

/// Plain sentences on why a node holds the version it holds and not a newer
/// one. Each sentence rests on a recorded fact; nothing is guessed.
std::vector<std::string> ExplainHeldVersion(const node_facts& facts);

/// Plain sentences on what became of one request, from the answer to
/// /v1/decisions; empty when the node does not remember it.
std::vector<std::string> ExplainRequest(const nlohmann::json& decisions,
                                        const std::string& request_id);

}  // namespace wagtailmount
