#pragma once

#include <filesystem>
#include <vector>

#include "LibBase/error.h"
#include "LibConfig/configuration.h"

namespace wagtailmount {

/// Reads every file of a folder, as the platform would publish it. Folders
/// within are an error, for the platform has none.
result<std::vector<config_file>> ReadFolder(
    const std::filesystem::path& folder);

}  // namespace wagtailmount
