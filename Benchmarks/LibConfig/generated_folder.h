#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "LibConfig/configuration.h"

namespace wagtailmount::benchmarks {

/// The size of a generated folder.
struct folder_size {
  std::size_t services = 0;
  std::size_t routes = 0;
  std::size_t files = 0;
};

/// Returns a folder sorted by file name, as a node gets it from the manifest.
/// Each service has one file with its team and routes; the remaining files hold
/// retry policies, header sets and overrides.
std::vector<config_file> GenerateFolder(const folder_size& size);

config_file MakeFile(std::string name, std::string content);

/// Returns the text of the file of service `number`; `routes` is the number of
/// its routes and `deadline_ms` the deadline of each.
std::string ServiceFile(std::size_t number, std::size_t slots,
                        std::size_t routes, std::size_t deadline_ms);

std::string ServiceFileName(std::size_t number);

}  // namespace wagtailmount::benchmarks
