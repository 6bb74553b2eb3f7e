#include "wagtailctl/node_query.h"

#include <future>
#include <ostream>
#include <utility>

#include "LibAdmin/admin_client.h"

namespace wagtailmount {

namespace options = boost::program_options;

namespace {

constexpr std::uint32_t kDefaultTimeoutMs = 2'000;

}  // namespace

void AddNodeOptions(command_form& form) {
  form.options.add_options()(
      "node", options::value<std::vector<std::string>>()->multitoken(),
      "admin addresses of the nodes to ask, as 127.0.0.1:7004")(
      "timeout-ms",
      options::value<std::uint32_t>()->default_value(kDefaultTimeoutMs),
      "how long to wait for each node, in milliseconds")(
      "json", "print the answer as JSON");
}

result<node_query> ReadNodeOptions(const options::variables_map& values) {
  if (values.count("node") == 0) {
    return Fail(error_kind::kInvalidInput, "--node ADDRESS is missing");
  }
  node_query query;
  query.timeout =
      std::chrono::milliseconds(values["timeout-ms"].as<std::uint32_t>());
  for (const auto& text : values["node"].as<std::vector<std::string>>()) {
    auto parsed = ParseEndpoint(text);
    if (!parsed) {
      return tl::unexpected(parsed.error());
    }
    query.nodes.push_back(*std::move(parsed));
  }
  return query;
}

tl::expected<node_command, exit_status> ReadNodeCommand(
    const command_form& form, std::span<const std::string> arguments,
    command_streams streams) {
  auto line = ParseCommandLine(form, arguments, streams);
  if (line.end.has_value()) {
    return tl::unexpected(*line.end);
  }
  auto query = ReadNodeOptions(line.values);
  if (!query) {
    streams.err << "wagtailctl: " << query.error().message << "\n";
    return tl::unexpected(exit_status::kMisuse);
  }
  return node_command{std::move(line.values), *std::move(query)};
}

std::vector<node_reply> AskNodes(const node_query& query,
                                 std::string_view method,
                                 std::string_view target) {
  std::vector<std::future<result<nlohmann::json>>> calls;
  for (const auto& node : query.nodes) {
    calls.push_back(std::async(std::launch::async, [&, node] {
      return CallAdmin(node, method, target, query.timeout);
    }));
  }
  std::vector<node_reply> replies;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    replies.push_back({query.nodes[i], calls[i].get()});
  }
  return replies;
}

nlohmann::json RepliesToJson(const std::vector<node_reply>& replies) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& reply : replies) {
    nlohmann::json entry{{"node", reply.node.ToText()}};
    if (reply.answer) {
      entry["answer"] = *reply.answer;
    } else {
      entry["error"] = reply.answer.error().message;
    }
    list.push_back(std::move(entry));
  }
  return list;
}

exit_status ReportSilentNodes(const std::vector<node_reply>& replies,
                              command_streams streams) {
  exit_status status = exit_status::kSuccess;
  for (const auto& reply : replies) {
    if (!reply.answer) {
      streams.err << "wagtailctl: " << reply.answer.error().message << "\n";
      status = exit_status::kRefused;
    }
  }
  return status;
}

}  // namespace wagtailmount
