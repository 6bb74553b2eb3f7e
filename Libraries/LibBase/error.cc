#include "LibBase/error.h"

namespace wagtailmount {

std::string_view NameOf(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalidInput:
      return "invalid input";
    case error_kind::kUnavailable:
      return "unavailable";
    case error_kind::kTimeout:
      return "timeout";
    case error_kind::kOverLimit:
      return "over limit";
    case error_kind::kConflict:
      return "conflict";
    case error_kind::kInternal:
      return "internal";
  }
  return "unknown";
}

}  // namespace wagtailmount
