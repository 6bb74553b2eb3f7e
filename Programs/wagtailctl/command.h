#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

namespace wagtailmount {

/// How a command ends, as the exit status of the process.
enum class exit_status {
  kSuccess = 0,
  kRefused = 1,  ///< The command ran, and its answer is no.
  kMisuse = 2,   ///< The command line is wrong or a file can't be read.
};

/// Where a command writes: answers to `out`, errors to `err`.
struct command_streams {
  std::ostream& out;
  std::ostream& err;
};

/// One command of wagtailctl.
struct command {
  std::string_view name;
  std::string_view summary;
  exit_status (*run)(std::span<const std::string> arguments,
                     command_streams streams);
};

/// All commands, in the order of the help text.
std::span<const command> Commands();

/// Runs the command that `arguments` (without the program's name) begins with.
exit_status RunCommandLine(std::span<const std::string> arguments,
                           command_streams streams);

}  // namespace wagtailmount
