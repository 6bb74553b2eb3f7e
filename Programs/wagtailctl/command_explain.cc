#include <ostream>

#include "wagtailctl/commands.h"
#include "wagtailctl/explanation.h"
#include "wagtailctl/node_query.h"

namespace wagtailmount {

namespace {

constexpr std::string_view kHelp =
    "Tells in plain sentences why each node holds the version it holds and "
    "not a\nnewer one; with --request, why a request went where it went, if "
    "the "
    "node still\nremembers it.\n\n"
    "Exit status:\n"
    "  0  every node answered\n"
    "  1  a node did not answer; it is named\n"
    "  2  misuse";

nlohmann::json NodeSentences(const endpoint& node,
                             const std::vector<std::string>& sentences) {
  return {{"node", node.ToText()}, {"sentences", sentences}};
}

/// One entry for each node that answered.
nlohmann::json ExplainVersionsAt(const node_query& query) {
  const auto statuses = AskNodes(query, "GET", "/v1/status");
  const auto refusals = AskNodes(query, "GET", "/v1/refusals");
  nlohmann::json report = nlohmann::json::array();
  for (std::size_t i = 0; i < statuses.size(); ++i) {
    if (statuses[i].answer && refusals[i].answer) {
      report.push_back(NodeSentences(
          statuses[i].node,
          ExplainHeldVersion({*statuses[i].answer, *refusals[i].answer})));
    }
  }
  return report;
}

/// One entry for each node that answered.
nlohmann::json ExplainRequestAt(const node_query& query,
                                const std::string& request_id) {
  nlohmann::json report = nlohmann::json::array();
  for (const auto& reply : AskNodes(query, "GET", "/v1/decisions")) {
    if (reply.answer) {
      report.push_back(
          NodeSentences(reply.node, ExplainRequest(*reply.answer, request_id)));
    }
  }
  return report;
}

exit_status SilenceStatus(const node_query& query, const nlohmann::json& report,
                          command_streams streams) {
  if (report.size() == query.nodes.size()) {
    return exit_status::kSuccess;
  }
  streams.err << "wagtailctl: " << query.nodes.size() - report.size() << " of "
              << query.nodes.size() << " nodes did not answer\n";
  return exit_status::kRefused;
}

}  // namespace

exit_status RunExplain(std::span<const std::string> arguments,
                       command_streams streams) {
  command_form form{
      "explain --node ADDRESS... [--request ID] [--json]", kHelp, {}, {}};
  AddNodeOptions(form);
  form.options.add_options()("request",
                             boost::program_options::value<std::string>(),
                             "explain the request with this X-Request-Id");
  const auto asked = ReadNodeCommand(form, arguments, streams);
  if (!asked) {
    return asked.error();
  }
  const nlohmann::json report =
      asked->values.count("request") != 0
          ? ExplainRequestAt(asked->query,
                             asked->values["request"].as<std::string>())
          : ExplainVersionsAt(asked->query);
  if (asked->values.count("json") != 0) {
    streams.out << report.dump(2) << "\n";
  } else {
    for (const auto& node : report) {
      for (const auto& sentence : node["sentences"]) {
        streams.out << sentence.get<std::string>() << "\n";
      }
    }
  }
  return SilenceStatus(asked->query, report, streams);
}

}  // namespace wagtailmount
