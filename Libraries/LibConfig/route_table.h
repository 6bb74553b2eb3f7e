#pragma once

#include <memory>
#include <vector>

#include "LibConfig/entry_table.h"

namespace wagtailmount::detail {

/// A route entry and the route built from it.
struct built_route {
  merged_entry_pointer entry;
  std::shared_ptr<const route> made;
};

/// All routes in force, in name order.
using route_table = std::vector<built_route>;

/// The result of BuildRoutes(): the new table and its changes from the previous
/// one.
struct route_outcome {
  route_table table;
  std::vector<std::shared_ptr<const route>> dropped;
  std::vector<std::shared_ptr<const route>> added;
  std::vector<refusal_reason> reasons;  ///< References that can't be resolved.
};

/// Builds the routes of `merged`. A route remains the same object as in
/// `before` if its own value, its service and its resources are unchanged.
route_outcome BuildRoutes(const route_table& before,
                          const merge_outcome& merged);

/// The routes of `before` without the dropped and with the added ones, in
/// IsBefore() order.
std::vector<std::shared_ptr<const route>> OrderRoutes(
    std::span<const std::shared_ptr<const route>> before,
    const route_outcome& change);

/// Returns a reason for each route that matches the same requests as another
/// one, reported at the route in the later file. Checks only the hosts and
/// prefixes of added routes.
std::vector<refusal_reason> FindConflicts(
    std::span<const std::shared_ptr<const route>> ordered,
    const route_outcome& change);

}  // namespace wagtailmount::detail
