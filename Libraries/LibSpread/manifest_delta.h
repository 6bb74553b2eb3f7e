#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/error.h"
#include "LibConfig/configuration.h"
#include "LibLink/message.h"

namespace wagtailmount {

/// File contents, keyed by their digest.
using content_pool =
    std::unordered_map<digest, std::shared_ptr<const std::string>>;

/// A file whose content this node lacks.
struct wanted_body {
  digest content_digest;
  std::uint64_t size_bytes = 0;  ///< As stated by the manifest; not verified.
};

/// The files of a version before all of its contents have been downloaded.
struct version_plan {
  std::vector<config_file> files;    ///< In name order; missing contents null.
  std::vector<wanted_body> missing;  ///< What to download, each digest once.
};

/// The names of the files that were added, changed or removed between two
/// manifests, in ascending order.
std::vector<std::string> ChangedNames(std::span<const manifest_entry> before,
                                      std::span<const manifest_entry> after);

/// Applies `received` to the manifest `held` (empty when `received` is a whole
/// manifest) and returns the resulting manifest. Fails with kInvalidInput when
/// the names are not in ascending order, and with kOverLimit when the result is
/// empty or exceeds the limits of a folder. The caller verifies the digest.
result<std::vector<manifest_entry>> ApplyManifest(
    std::span<const manifest_entry> held, const manifest_message& received);

/// Fills in the contents of `manifest` that are available in `held` (may be
/// null) or `pool`, and lists those to download.
version_plan PlanVersion(std::span<const manifest_entry> manifest,
                         const configuration* held, const content_pool& pool);

}  // namespace wagtailmount
