#pragma once

#include <vector>

#include "LibConfig/declaration.h"
#include "LibConfig/entry_table.h"
#include "LibConfig/route_table.h"

namespace wagtailmount::detail {

/// Intermediate results of accepting a version. AcceptFolder() re-uses them for
/// the next version, so that only changed files are parsed and merged again.
struct acceptance_record {
  std::vector<parsed_file_pointer> files;  ///< In name order.
  entry_tables tables;
  route_table routes;
};

}  // namespace wagtailmount::detail
