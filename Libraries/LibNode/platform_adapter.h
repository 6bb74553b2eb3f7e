#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string_view>

#include "LibBase/error.h"
#include "LibCatalog/catalog_format.h"
#include "LibCatalog/catalog_source.h"
#include "LibNode/settings.h"
#include "LibTraffic/request_fields.h"

namespace wagtailmount {

/// The interface of one platform that publishes a catalog: its header names,
/// entry formats and calls. It holds no policy.
struct platform_adapter {
  request_fields fields;
  catalog_format format;
  /// The path of the platform's readiness checks.
  std::string_view readiness_path;
  /// Creates the client of the platform. `context` must outlive it and runs its
  /// callbacks. Fails if the client can't be created.
  result<std::unique_ptr<catalog_source>> (*make_source)(
      boost::asio::io_context& context, const node_settings& settings);
};

}  // namespace wagtailmount
