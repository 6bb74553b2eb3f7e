#pragma once

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailctl/command.h"

namespace wagtailmount {

/// What a command takes.
struct command_form {
  std::string_view usage;  ///< As "check FOLDER".
  std::string_view help;   ///< What it does, and its exit statuses.
  boost::program_options::options_description
      options;                         ///< Without "help", which all have.
  std::vector<std::string> positions;  ///< Names of the arguments that must be
                                       ///< given, in order.
};

/// A command line that was read, or the status to end with at once: after
/// --help or a misuse, which has been printed by then.
struct parsed_command_line {
  boost::program_options::variables_map values;
  std::optional<exit_status> end;
};

parsed_command_line ParseCommandLine(const command_form& form,
                                     std::span<const std::string> arguments,
                                     command_streams streams);

}  // namespace wagtailmount
