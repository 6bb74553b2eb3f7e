#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "LibBase/clock.h"
#include "LibMembership/vm_record.h"

namespace wagtailmount {

/// The rendezvous hash of a VM; VMs with lower hashes are preferred as readers.
std::uint64_t ReaderHash(std::string_view vm);

/// The number of VMs of `failure_domain` that are preferred to `vm` as readers.
/// VMs that are leaving, are gone or never announced themselves do not count.
/// `vm` itself need not be among the records.
std::size_t ReaderRank(std::string_view vm, std::string_view failure_domain,
                       std::span<const vm_record> records);

/// How many VMs read the platform, and when others take over from them.
struct reader_selection_settings {
  /// VMs of a lower rank than this always read.
  std::size_t readers_per_failure_domain = 3;
  /// Age of the platform's last confirmation from which VMs of higher rank read
  /// too. The platform confirms its revision at least every 30 s.
  duration take_over_age = std::chrono::seconds{75};
  /// Added to `take_over_age` for each further rank, to stagger the take-over.
  duration take_over_delay_per_rank = std::chrono::seconds{5};
};

/// Whether a VM should read the platform now. There is no leader election: if
/// more VMs read than necessary, that only costs calls, which read_budget
/// limits.
///
/// `source_age` is the age of the newest confirmation by the platform that this
/// VM knows of, from peers or its own reading. `jitter` is a random fraction in
/// [0, 1), constant for the life of the process.
bool ShouldRead(std::size_t rank, duration source_age, double jitter,
                const reader_selection_settings& settings);

}  // namespace wagtailmount
