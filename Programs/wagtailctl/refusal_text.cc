#include "wagtailctl/refusal_text.h"

#include <ostream>

namespace wagtailmount {

void PrintRefusal(const refusal& refused, std::ostream& out) {
  out << "refused " << refused.version.content.ToHex() << "\n";
  for (const auto& each : refused.reasons) {
    out << "  " << each.file << (each.file.empty() ? "" : ": ") << each.path
        << (each.path.empty() ? "" : ": ") << each.reason << "\n";
  }
}

}  // namespace wagtailmount
