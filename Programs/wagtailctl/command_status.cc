#include <iomanip>
#include <ostream>

#include "wagtailctl/commands.h"
#include "wagtailctl/node_query.h"

namespace wagtailmount {

namespace {

constexpr std::string_view kHelp =
    "Shows what each node holds, where it came from, and how old the "
    "platform's\nlast confirmation is.\n\n"
    "Exit status:\n"
    "  0  every node answered\n"
    "  1  a node did not answer; it is named\n"
    "  2  misuse";

constexpr int kNameWidth = 14;
constexpr int kDomainWidth = 16;
constexpr int kPhaseWidth = 10;
constexpr int kRevisionWidth = 10;
constexpr int kDigestWidth = 14;
constexpr std::size_t kShortDigest = 12;

std::string TextOrDash(const nlohmann::json& object, std::string_view key) {
  const auto member = object.find(std::string(key));
  if (member == object.end() || member->is_null()) {
    return "-";
  }
  return member->is_string() ? member->get<std::string>() : member->dump();
}

void PrintHeadings(std::ostream& out) {
  out << std::left << std::setw(kNameWidth) << "VM" << std::setw(kDomainWidth)
      << "DOMAIN" << std::setw(kPhaseWidth) << "PHASE"
      << std::setw(kRevisionWidth) << "REVISION" << std::setw(kDigestWidth)
      << "DIGEST"
      << "FROM\n";
}

void PrintNode(const nlohmann::json& status, std::ostream& out) {
  const nlohmann::json held =
      status.value("held", nlohmann::json(nullptr)).is_object()
          ? status["held"]
          : nlohmann::json::object();
  out << std::left << std::setw(kNameWidth) << TextOrDash(status, "vm")
      << std::setw(kDomainWidth) << TextOrDash(status, "failure_domain")
      << std::setw(kPhaseWidth) << TextOrDash(status, "phase")
      << std::setw(kRevisionWidth) << TextOrDash(held, "revision")
      << std::setw(kDigestWidth)
      << TextOrDash(held, "digest").substr(0, kShortDigest)
      << TextOrDash(held, "from") << "\n";
  const nlohmann::json evacuated =
      status.value("evacuated_failure_domains", nlohmann::json::array());
  if (!evacuated.empty()) {
    out << "  evacuated failure domains: " << evacuated.dump() << "\n";
  }
}

}  // namespace

exit_status RunStatus(std::span<const std::string> arguments,
                      command_streams streams) {
  command_form form{"status --node ADDRESS... [--json]", kHelp, {}, {}};
  AddNodeOptions(form);
  const auto asked = ReadNodeCommand(form, arguments, streams);
  if (!asked) {
    return asked.error();
  }
  const auto replies = AskNodes(asked->query, "GET", "/v1/status");
  if (asked->values.count("json") != 0) {
    streams.out << RepliesToJson(replies).dump(2) << "\n";
  } else {
    PrintHeadings(streams.out);
    for (const auto& reply : replies) {
      if (reply.answer) {
        PrintNode(*reply.answer, streams.out);
      }
    }
  }
  return ReportSilentNodes(replies, streams);
}

}  // namespace wagtailmount
