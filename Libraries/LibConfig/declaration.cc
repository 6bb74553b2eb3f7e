#include "LibConfig/declaration.h"

namespace wagtailmount::detail {

std::string_view SectionOf(entry_kind kind) {
  constexpr std::array<std::string_view, kEntryKinds> kSections{
      "services", "resources", "routes", "evacuations"};
  return kSections[static_cast<std::size_t>(kind)];
}

std::string declaration::Path() const {
  return "$." + std::string(SectionOf(kind)) + "." + name;
}

}  // namespace wagtailmount::detail
