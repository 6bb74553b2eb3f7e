#include "LibTraffic/request_start.h"

namespace wagtailmount::detail {

std::string MakeRequestId(random_source& random) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr std::size_t kDigitCount = 16;
  std::uint64_t bits = random.Below(~std::uint64_t{0});
  std::string id(kDigitCount, '0');
  for (char& digit : id) {
    digit = kDigits[bits % kDigits.size()];
    bits /= kDigits.size();
  }
  return id;
}

const service& ChooseTargetByWeight(const route& chosen,
                                    random_source& random) {
  double total_weight = 0.0;
  for (const route_part& part : chosen.parts) {
    total_weight += part.weight;
  }
  double remaining_weight = random.Fraction() * total_weight;
  for (const route_part& part : chosen.parts) {
    if (remaining_weight < part.weight) {
      return *part.target;
    }
    remaining_weight -= part.weight;
  }
  return *chosen.target;
}

}  // namespace wagtailmount::detail
