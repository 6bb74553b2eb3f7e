#include <chrono>
#include <ostream>
#include <thread>

#include "wagtailctl/commands.h"
#include "wagtailctl/node_query.h"

namespace wagtailmount {

namespace {

constexpr std::string_view kHelp =
    "Begins a planned stop of each node: it takes no new work, finishes what "
    "is in\nflight, and ends. With --wait, returns once the nodes are gone.\n\n"
    "Exit status:\n"
    "  0  every node drains (with --wait: is gone)\n"
    "  1  a node did not answer, or was not gone in time; it is named\n"
    "  2  misuse";

constexpr std::chrono::milliseconds kPollPeriod{100};

/// Asks until no node answers any more; false when one still does at the end.
bool WaitUntilGone(const node_query& query, std::chrono::seconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    bool is_one_left = false;
    for (const auto& reply : AskNodes(query, "GET", "/v1/status")) {
      is_one_left |= reply.answer.has_value();
    }
    if (!is_one_left) {
      return true;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return false;
}

}  // namespace

exit_status RunDrain(std::span<const std::string> arguments,
                     command_streams streams) {
  command_form form{
      "drain --node ADDRESS... [--wait SECONDS] [--json]", kHelp, {}, {}};
  AddNodeOptions(form);
  form.options.add_options()(
      "wait", boost::program_options::value<std::uint32_t>(),
      "wait up to so many seconds until the nodes are gone");
  const auto asked = ReadNodeCommand(form, arguments, streams);
  if (!asked) {
    return asked.error();
  }
  const auto replies = AskNodes(asked->query, "POST", "/v1/drain");
  if (asked->values.count("json") != 0) {
    streams.out << RepliesToJson(replies).dump(2) << "\n";
  }
  const exit_status status = ReportSilentNodes(replies, streams);
  if (status != exit_status::kSuccess || asked->values.count("wait") == 0) {
    return status;
  }
  const std::chrono::seconds limit(asked->values["wait"].as<std::uint32_t>());
  if (!WaitUntilGone(asked->query, limit)) {
    streams.err << "wagtailctl: a node is still there after " << limit.count()
                << " s\n";
    return exit_status::kRefused;
  }
  return exit_status::kSuccess;
}

}  // namespace wagtailmount
