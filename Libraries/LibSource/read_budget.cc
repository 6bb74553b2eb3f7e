#include "LibSource/read_budget.h"

#include <algorithm>
#include <cmath>

#include "LibSource/reader_selection.h"

namespace wagtailmount {

namespace {

using seconds_as_real = std::chrono::duration<double>;

duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<duration>(seconds_as_real{seconds});
}

/// Upper bound of the harmonic number 1 + 1/2 + ... + 1/count.
double HarmonicNumber(std::size_t count) {
  return std::log(static_cast<double>(count)) + 1.0;
}

/// 2^64, the number of distinct reader hashes.
constexpr double kReaderHashCount = 18446744073709551616.0;

}  // namespace

double read_budget::ShareOf(std::string_view vm,
                            double platform_calls_per_second,
                            std::size_t fleet_size) {
  const std::size_t size = std::max<std::size_t>(fleet_size, 1);
  const double usable = platform_calls_per_second * kUsableFraction;
  const double even_share =
      usable * kEvenlySplitFraction / static_cast<double>(size);
  const double position =
      static_cast<double>(ReaderHash(vm)) / kReaderHashCount;
  const double expected_rank =
      std::max(1.0, position * static_cast<double>(size));
  const double ranked_share = usable * (1.0 - kEvenlySplitFraction) /
                              (HarmonicNumber(size) * expected_rank);
  return even_share + ranked_share;
}

read_budget::read_budget(const settings& chosen, time_point now,
                         random_source& random)
    : vm_(chosen.vm),
      platform_calls_per_second_(chosen.platform_calls_per_second),
      fleet_size_(std::max<std::size_t>(chosen.fleet_size, 1)),
      calls_per_second_(ShareOf(vm_, platform_calls_per_second_, fleet_size_)),
      first_permit_at_(now +
                       FromSeconds(random.Fraction() / calls_per_second_)) {}

std::int64_t read_budget::PermitIndexAt(time_point at) const {
  const double seconds = seconds_as_real{at - first_permit_at_}.count();
  return static_cast<std::int64_t>(std::floor(seconds * calls_per_second_));
}

std::int64_t read_budget::NextUsablePermit(time_point now) const {
  const std::int64_t oldest_unexpired =
      PermitIndexAt(now - kPermitLifetime) + 1;
  return std::max({std::int64_t{0}, last_taken_ + 1, oldest_unexpired});
}

bool read_budget::TryTake(time_point now) {
  const std::int64_t next = NextUsablePermit(now);
  if (next > PermitIndexAt(now)) {
    ++refused_;
    return false;
  }
  last_taken_ = next;
  ++taken_;
  return true;
}

time_point read_budget::NextPermitAt(time_point now) const {
  const std::int64_t next = NextUsablePermit(now);
  if (next <= PermitIndexAt(now)) {
    return now;
  }
  // The extra microsecond keeps rounding from yielding a time just before the
  // permit is issued.
  return first_permit_at_ +
         FromSeconds(static_cast<double>(next) / calls_per_second_) +
         std::chrono::microseconds{1};
}

void read_budget::SetFleetSize(std::size_t fleet_size, time_point now) {
  const std::size_t size = std::max<std::size_t>(fleet_size, 1);
  if (size == fleet_size_) {
    return;
  }
  const time_point next_permit_at = std::max(NextPermitAt(now), now);
  fleet_size_ = size;
  calls_per_second_ = ShareOf(vm_, platform_calls_per_second_, size);
  first_permit_at_ = next_permit_at;
  last_taken_ = -1;
}

}  // namespace wagtailmount
