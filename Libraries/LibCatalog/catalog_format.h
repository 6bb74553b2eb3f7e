#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "LibBase/error.h"
#include "LibCatalog/catalog_item.h"
#include "LibCatalog/upstream_record.h"
#include "LibConfig/configuration.h"

namespace wagtailmount {

/// The keys of a platform's entries, and the functions that decode their
/// content. These return kInvalidInput with the reason if it is malformed.
struct catalog_format {
  std::string_view configuration_key;
  std::string_view upstream_prefix;
  /// An entry with this prefix, followed by the name of a failure domain, asks
  /// that no request be sent to the backend servers there while it exists.
  /// Empty if the platform has no such entries.
  std::string_view evacuation_prefix;
  /// The version number inside the configuration becomes its revision.
  result<std::shared_ptr<const configuration>> (*read_configuration)(
      const catalog_item& item);
  result<upstream_record> (*read_upstream)(const catalog_item& item);
};

}  // namespace wagtailmount
