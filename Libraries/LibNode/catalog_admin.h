#pragma once

#include <functional>
#include <string_view>

#include "LibAdmin/admin_server.h"
#include "LibNode/catalog_control.h"
#include "LibTraffic/traffic_server.h"

namespace wagtailmount {

/// Answers the admin calls to a node whose platform publishes a catalog.
class catalog_admin final : public admin_handler {
 public:
  /// All references must outlive the object.
  catalog_admin(const catalog_control& control, const traffic_server& traffic,
                const structured_log& log)
      : control_(control), traffic_(traffic), log_(log) {}

  admin_answer Answer(const admin_call& call) override;

 private:
  const catalog_control& control_;
  const traffic_server& traffic_;
  const structured_log& log_;
};

/// Answers the platform's readiness checks: status 200 while this node accepts
/// callers' requests, else 503.
class readiness_handler final : public admin_handler {
 public:
  readiness_handler(std::string_view path, std::function<bool()> is_ready)
      : path_(path), is_ready_(std::move(is_ready)) {}

  admin_answer Answer(const admin_call& call) override;

 private:
  std::string_view path_;
  std::function<bool()> is_ready_;
};

}  // namespace wagtailmount
