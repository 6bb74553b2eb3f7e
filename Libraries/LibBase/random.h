#pragma once

#include <cstdint>
#include <random>

namespace wagtailmount {

/// Random numbers, seeded so that a run can be repeated. Not for secrets.
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : engine_(seed) {}

  /// A whole number from 0 to `bound` - 1; 0 when `bound` is 0.
  std::uint64_t Below(std::uint64_t bound);

  /// A number from 0 up to but not including 1.
  double Fraction();

 private:
  std::mt19937_64 engine_;
};

}  // namespace wagtailmount
