#pragma once

#include <span>
#include <string>

#include "wagtailctl/command.h"

namespace wagtailmount {

/// Each command lives in the file command_NAME.cc.

exit_status RunCheck(std::span<const std::string> arguments,
                     command_streams streams);
exit_status RunDiff(std::span<const std::string> arguments,
                    command_streams streams);
exit_status RunStatus(std::span<const std::string> arguments,
                      command_streams streams);
exit_status RunExplain(std::span<const std::string> arguments,
                       command_streams streams);
exit_status RunEvents(std::span<const std::string> arguments,
                      command_streams streams);
exit_status RunBurn(std::span<const std::string> arguments,
                    command_streams streams);
exit_status RunDrain(std::span<const std::string> arguments,
                     command_streams streams);

}  // namespace wagtailmount
