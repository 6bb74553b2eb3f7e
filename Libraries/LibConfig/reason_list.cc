#include "LibConfig/reason_list.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "LibBase/text.h"
#include "LibConfig/config_limits.h"

namespace wagtailmount::detail {

void reason_list::Add(std::string_view file, std::string_view path,
                      std::string_view reason) {
  reasons_.push_back({PrintableTextOf(file, kLongestNameBytes),
                      PrintableTextOf(path, kLongestReasonBytes),
                      PrintableTextOf(reason, kLongestReasonBytes)});
}

void reason_list::Add(std::span<const refusal_reason> found) {
  for (const auto& each : found) {
    Add(each.file, each.path, each.reason);
  }
}

refusal reason_list::ToRefusal(const version_id& version) && {
  std::sort(reasons_.begin(), reasons_.end(),
            [](const refusal_reason& left, const refusal_reason& right) {
              return std::tie(left.file, left.path, left.reason) <
                     std::tie(right.file, right.path, right.reason);
            });
  if (reasons_.size() > kMostReasons) {
    const std::size_t more = reasons_.size() - kMostReasons;
    reasons_.resize(kMostReasons);
    reasons_.push_back(
        {"", "", "there are " + std::to_string(more) + " more reasons"});
  }
  return {version, std::move(reasons_)};
}

}  // namespace wagtailmount::detail
