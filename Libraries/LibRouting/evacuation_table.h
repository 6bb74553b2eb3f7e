#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/clock.h"

namespace wagtailmount {

/// The failure domains that are evacuated: no request may start at the backend
/// servers there.
class evacuation_table {
 public:
  struct change {
    std::string failure_domain;
    bool has_begun = false;  ///< Otherwise its evacuation has ended.

    bool operator==(const change&) const = default;
  };

  /// Replaces the set. Returns what began and what ended, each in the order of
  /// names.
  std::vector<change> Update(time_point now,
                             const std::set<std::string>& failure_domains);

  bool IsEvacuated(std::string_view failure_domain) const {
    return since_.contains(failure_domain);
  }

  /// Since when the failure domain has been evacuated; zero if it is not.
  time_point Since(std::string_view failure_domain) const;

  /// When its last evacuation ended; zero if there was none.
  time_point EndedAt(std::string_view failure_domain) const;

  /// The evacuated failure domains, in the order of names.
  std::vector<std::string> Names() const;

 private:
  std::map<std::string, time_point, std::less<>> since_;
  std::map<std::string, time_point, std::less<>> ended_at_;
};

}  // namespace wagtailmount
