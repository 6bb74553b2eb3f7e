#include "LibTraffic/request_start.h"

#include <algorithm>

#include "LibTraffic/http_types.h"

namespace wagtailmount::detail {

namespace {

// Of a route whose answers are this long on average, some are not held whole.
constexpr std::size_t kLongAnswerBytes = kRetainedBodyBytes / 2;

}  // namespace

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

bool ExpectsLongAnswer(traffic_worker& worker, const route& chosen) {
  const auto expects_from = [&](const service& target) {
    return worker.ServiceStateOf(target.name)
               .sizes.ExpectedAnswerBytes(chosen.name) >= kLongAnswerBytes;
  };
  return chosen.has_long_answers || expects_from(*chosen.target) ||
         std::any_of(chosen.parts.begin(), chosen.parts.end(),
                     [&](const route_part& part) {
                       return expects_from(*part.target);
                     });
}

}  // namespace wagtailmount::detail
