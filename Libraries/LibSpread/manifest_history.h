#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "LibConfig/configuration.h"
#include "LibLink/message.h"

namespace wagtailmount {

/// Records which files changed between the versions that this node held, so
/// that a pull can be answered with a delta instead of the whole manifest.
/// Keeps file names only, at most `maximum_names` over all steps, where each
/// step counts as one name more.
class manifest_history {
 public:
  explicit manifest_history(std::size_t maximum_names)
      : maximum_names_(maximum_names) {}

  /// Records the names that changed when this node replaced `before`.
  void Record(const version_id& before, std::vector<std::string> names);

  /// The delta from `base` to `current`, or nothing when the history does not
  /// reach back to `base` or the whole manifest is no larger.
  ///
  /// If this node never held `base`, the delta starts from the greatest version
  /// below it that this node did hold. It is correct if `additional_names`, the
  /// names that changed at the receiver up to `base`, reach back to that
  /// version. If they do not, the receiver computes a different digest and
  /// requests the whole manifest.
  std::optional<manifest_message> DeltaSince(
      const version_id& base, std::span<const std::string> additional_names,
      const configuration& current) const;

  /// The names that changed in the latest steps: as many whole steps as fit
  /// into `max_names` names; sorted, without duplicates.
  std::vector<std::string> RecentNames(std::size_t max_names) const;

  /// The number of names kept, plus one for each step.
  std::size_t NameCount() const { return name_count_; }

 private:
  struct step {
    version_id before;
    std::vector<std::string> names;
  };

  std::size_t maximum_names_;
  std::size_t name_count_ = 0;
  std::deque<step> steps_;  ///< In ascending order of versions.
};

/// The whole manifest of a version.
manifest_message WholeManifestOf(const configuration& version);

}  // namespace wagtailmount
