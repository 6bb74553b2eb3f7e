#pragma once

#include <memory>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "LibConfig/configuration.h"

namespace wagtailmount {

/// One reason why a version is refused. `file` and `path` are empty where the
/// reason concerns the folder or the whole file.
struct refusal_reason {
  std::string file;
  std::string path;  ///< JSON path, or line and column.
  std::string reason;
};

/// Why a version is refused. No part of a refused version is applied.
struct refusal {
  version_id version;
  std::vector<refusal_reason> reasons;  ///< Never empty.
};

/// The digest that identifies a folder's content. It is computed over the names
/// and content digests of the files, in name order.
digest DigestOfManifest(std::span<const manifest_entry> manifest);

/// Merges the files in the order of their names and validates the result.
/// Returns the new configuration, or all reasons for refusing the version. A
/// pure function of `revision` and `files` (in any order), so all nodes reach
/// the same result. `previous` (may be null) only saves the work for unchanged
/// files; it never alters the result. A file whose content does not match its
/// digest is refused.
tl::expected<std::shared_ptr<const configuration>, refusal> AcceptFolder(
    std::uint64_t revision, std::span<const config_file> files,
    const configuration* previous);

}  // namespace wagtailmount
