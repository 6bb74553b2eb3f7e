#pragma once

#include <functional>

#include "LibAdmin/admin_server.h"
#include "LibNode/control_plane.h"
#include "LibTraffic/traffic_server.h"

namespace wagtailmount {

/// Answers the admin calls to one node from its control plane and its traffic
/// server.
class node_admin final : public admin_handler {
 public:
  /// All references must outlive the object. `drain` begins a planned stop.
  node_admin(control_plane& control, const traffic_server& traffic,
             std::function<void()> drain)
      : control_(control), traffic_(traffic), drain_(std::move(drain)) {}

  admin_answer Answer(const admin_call& call) override;

 private:
  using route_handler = admin_answer (node_admin::*)(const admin_call& call);
  struct admin_route {
    std::string_view method;
    std::string_view path;
    route_handler handle;
  };

  admin_answer Status(const admin_call& call);
  admin_answer Events(const admin_call& call);
  admin_answer Routes(const admin_call& call);
  admin_answer Upstreams(const admin_call& call);
  admin_answer Membership(const admin_call& call);
  admin_answer Peers(const admin_call& call);
  admin_answer Refusals(const admin_call& call);
  admin_answer Counters(const admin_call& call);
  admin_answer Decisions(const admin_call& call);
  admin_answer Drain(const admin_call& call);

  control_plane& control_;
  const traffic_server& traffic_;
  std::function<void()> drain_;
};

}  // namespace wagtailmount
