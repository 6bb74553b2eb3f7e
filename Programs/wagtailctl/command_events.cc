#include <ostream>

#include "wagtailctl/commands.h"
#include "wagtailctl/node_query.h"

namespace wagtailmount {

namespace {

constexpr std::string_view kHelp =
    "Prints the changes of state that each node keeps in its ring of 1,000 "
    "events.\n\n"
    "Exit status:\n"
    "  0  every node answered\n"
    "  1  a node did not answer; it is named\n"
    "  2  misuse";

void PrintEvents(const nlohmann::json& answer, std::ostream& out) {
  const std::string vm = answer.value("vm", "?");
  for (const auto& entry : answer.value("events", nlohmann::json::array())) {
    out << vm << " " << entry.value("sequence", 0) << " "
        << entry.value("unix_ms", std::int64_t{0}) << " "
        << entry.value("kind", "?") << ": " << entry.value("text", "") << "\n";
  }
}

}  // namespace

exit_status RunEvents(std::span<const std::string> arguments,
                      command_streams streams) {
  command_form form{
      "events --node ADDRESS... [--after N] [--json]", kHelp, {}, {}};
  AddNodeOptions(form);
  form.options.add_options()(
      "after", boost::program_options::value<std::uint64_t>()->default_value(0),
      "only events with a sequence number above N");
  const auto asked = ReadNodeCommand(form, arguments, streams);
  if (!asked) {
    return asked.error();
  }
  const auto after = asked->values["after"].as<std::uint64_t>();
  const auto replies = AskNodes(asked->query, "GET",
                                "/v1/events?after=" + std::to_string(after));
  if (asked->values.count("json") != 0) {
    streams.out << RepliesToJson(replies).dump(2) << "\n";
  } else {
    for (const auto& reply : replies) {
      if (reply.answer) {
        PrintEvents(*reply.answer, streams.out);
      }
    }
  }
  return ReportSilentNodes(replies, streams);
}

}  // namespace wagtailmount
