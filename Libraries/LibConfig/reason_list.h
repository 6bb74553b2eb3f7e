#pragma once

#include <span>
#include <string_view>
#include <vector>

#include "LibConfig/acceptance.h"

namespace wagtailmount::detail {

/// Collects the reasons for refusing a version. The refusal made of them does
/// not depend on the order in which they were added: the reasons are sorted,
/// made printable ASCII, and limited in number and length.
class reason_list {
 public:
  void Add(std::string_view file, std::string_view path,
           std::string_view reason);
  void Add(std::span<const refusal_reason> found);

  bool IsEmpty() const { return reasons_.empty(); }

  refusal ToRefusal(const version_id& version) &&;

 private:
  std::vector<refusal_reason> reasons_;
};

}  // namespace wagtailmount::detail
