#include "LibConfig/route_order.h"

#include <algorithm>
#include <tuple>

namespace wagtailmount {

bool IsHostBefore(std::string_view left, std::string_view right) {
  if (left.empty() || right.empty()) {
    return !left.empty() && right.empty();
  }
  return left < right;
}

bool IsPrefixBefore(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return left.size() > right.size();
  }
  return left < right;
}

bool IsBefore(const route& left, const route& right) {
  if (left.host != right.host) {
    return IsHostBefore(left.host, right.host);
  }
  if (left.path_prefix != right.path_prefix) {
    return IsPrefixBefore(left.path_prefix, right.path_prefix);
  }
  return std::forward_as_tuple(left.methods.empty(), left.name) <
         std::forward_as_tuple(right.methods.empty(), right.name);
}

bool TakesMethod(const route& each, std::string_view method) {
  return each.methods.empty() ||
         std::binary_search(each.methods.begin(), each.methods.end(), method);
}

}  // namespace wagtailmount
