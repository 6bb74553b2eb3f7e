#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "LibNode/control_plane.h"

namespace wagtailmount {

/// The control state of a node as JSON, one function for each path of the admin
/// API; docs/ADMIN-API.md describes the members. EventsReport() holds the
/// events with a sequence number greater than `after`.
nlohmann::json StatusReport(const control_plane& control);
nlohmann::json EventsReport(const control_plane& control, std::uint64_t after);
nlohmann::json RoutesReport(const control_plane& control);
nlohmann::json UpstreamsReport(const control_plane& control);
nlohmann::json MembershipReport(const control_plane& control);
nlohmann::json PeersReport(const control_plane& control);
nlohmann::json RefusalsReport(const control_plane& control);

}  // namespace wagtailmount
