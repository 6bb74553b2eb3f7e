#include "wagtailctl/command.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <ostream>

#include "wagtailctl/commands.h"

namespace wagtailmount {

namespace {

constexpr std::array kCommands{
    command{"check", "tell whether a folder would be accepted, and why not",
            RunCheck},
    command{"diff", "tell what changes from one folder to another", RunDiff},
    command{"status", "show what nodes hold", RunStatus},
    command{"explain", "tell why nodes hold what they hold", RunExplain},
    command{"events", "print the changes of state of nodes", RunEvents},
    command{"burn", "tell how fast the error budgets are spent", RunBurn},
    command{"drain", "begin a planned stop of nodes", RunDrain},
};

constexpr int kNameWidth = 10;

void PrintHelp(std::ostream& out) {
  out << "Usage: wagtailctl COMMAND [ARGUMENT...]\n\nCommands:\n";
  for (const auto& each : Commands()) {
    out << "  " << std::left << std::setw(kNameWidth) << each.name
        << each.summary << "\n";
  }
  out << "\n`wagtailctl COMMAND --help` tells a command's options.\n"
         "Exit status: 0 success; 1 the answer is no; 2 misuse.\n";
}

}  // namespace

std::span<const command> Commands() { return kCommands; }

exit_status RunCommandLine(std::span<const std::string> arguments,
                           command_streams streams) {
  if (arguments.empty()) {
    PrintHelp(streams.err);
    return exit_status::kMisuse;
  }
  const std::string& name = arguments.front();
  if (name == "--help" || name == "-h" || name == "help") {
    PrintHelp(streams.out);
    return exit_status::kSuccess;
  }
  const auto commands = Commands();
  const auto found =
      std::find_if(commands.begin(), commands.end(),
                   [&name](const command& each) { return each.name == name; });
  if (found == commands.end()) {
    streams.err << "wagtailctl: there is no command \"" << name
                << "\"; see wagtailctl --help\n";
    return exit_status::kMisuse;
  }
  return found->run(arguments.subspan(1), streams);
}

}  // namespace wagtailmount
