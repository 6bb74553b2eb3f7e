#include "LibSource/reader_selection.h"

#include <string>

#include "LibBase/digest.h"

namespace wagtailmount {

namespace {

/// Excludes VMs known only from the platform's list (incarnation 0): they might
/// not run a node.
bool IsEligibleReader(const vm_record& record) {
  return record.incarnation > 0 && (record.state == vm_state::kStarting ||
                                    record.state == vm_state::kServing);
}

}  // namespace

std::uint64_t ReaderHash(std::string_view vm) {
  // The prefix makes this order independent of other uses of HashOf().
  return HashOf("reader/" + std::string(vm));
}

std::size_t ReaderRank(std::string_view vm, std::string_view failure_domain,
                       std::span<const vm_record> records) {
  const std::uint64_t own_hash = ReaderHash(vm);
  std::size_t rank = 0;
  for (const auto& record : records) {
    if (record.failure_domain != failure_domain || record.vm == vm ||
        !IsEligibleReader(record)) {
      continue;
    }
    const std::uint64_t hash = ReaderHash(record.vm);
    if (hash < own_hash || (hash == own_hash && record.vm < vm)) {
      ++rank;
    }
  }
  return rank;
}

bool ShouldRead(std::size_t rank, duration source_age, double jitter,
                const reader_selection_settings& settings) {
  if (rank < settings.readers_per_failure_domain) {
    return true;
  }
  const double ranks_behind =
      static_cast<double>(rank - settings.readers_per_failure_domain) + jitter;
  const auto delay = std::chrono::duration_cast<duration>(
      ranks_behind * settings.take_over_delay_per_rank);
  return source_age >= settings.take_over_age + delay;
}

}  // namespace wagtailmount
