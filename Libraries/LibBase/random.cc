#include "LibBase/random.h"

namespace wagtailmount {

std::uint64_t random_source::Below(std::uint64_t bound) {
  if (bound == 0) {
    return 0;
  }
  return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
}

double random_source::Fraction() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
}

}  // namespace wagtailmount
