#include "LibMembership/vm_record.h"

namespace wagtailmount {

std::string_view NameOf(vm_state state) {
  switch (state) {
    case vm_state::kStarting:
      return "starting";
    case vm_state::kServing:
      return "serving";
    case vm_state::kLeaving:
      return "leaving";
    case vm_state::kGone:
      return "gone";
  }
  return "unknown";
}

}  // namespace wagtailmount
