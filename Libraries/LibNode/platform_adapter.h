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

/// How a platform that publishes a catalog is spoken to: its names, formats and
/// calls. It decides nothing.
struct platform_adapter {
  request_fields fields;
  catalog_format format;
  /// Where the platform asks whether a node takes callers.
  std::string_view readiness_path;
  /// `context` must outlive the source; its thread gets all answers.
  result<std::unique_ptr<catalog_source>> (*make_source)(
      boost::asio::io_context& context, const node_settings& settings);
};

}  // namespace wagtailmount
