#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/endpoint.h"
#include "LibBase/error.h"
#include "wagtailctl/command_line.h"

namespace wagtailmount {

/// One node as the operator named it, and what it answered.
struct node_reply {
  endpoint node;
  result<nlohmann::json> answer;
};

/// The nodes that a command asks, and for how long.
struct node_query {
  std::vector<endpoint> nodes;
  std::chrono::milliseconds timeout{2'000};
};

/// Adds --node, --timeout-ms and --json to a command's options.
void AddNodeOptions(command_form& form);

/// Reads what AddNodeOptions() added; at least one node must be named.
result<node_query> ReadNodeOptions(
    const boost::program_options::variables_map& values);

/// A command line that asks nodes.
struct node_command {
  boost::program_options::variables_map values;
  node_query query;
};

/// Reads the whole command line of a command that has AddNodeOptions(). The
/// error is the status to end with, after --help or a misuse that was printed.
tl::expected<node_command, exit_status> ReadNodeCommand(
    const command_form& form, std::span<const std::string> arguments,
    command_streams streams);

/// Makes the same call at every node, all at one time; the replies stand in the
/// order of the nodes.
std::vector<node_reply> AskNodes(const node_query& query,
                                 std::string_view method,
                                 std::string_view target);

/// The replies as JSON: [{"node": ..., "answer": ...} or {"node": ..., "error":
/// ...}].
nlohmann::json RepliesToJson(const std::vector<node_reply>& replies);

/// kSuccess when every node answered; else names the silent ones and gives
/// kRefused.
exit_status ReportSilentNodes(const std::vector<node_reply>& replies,
                              command_streams streams);

}  // namespace wagtailmount
