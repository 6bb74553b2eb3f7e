#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/clock.h"
#include "LibBase/random.h"
#include "LibMembership/vm_record.h"
#include "LibSource/call_tracker.h"
#include "LibSource/platform_client.h"
#include "LibSource/read_budget.h"
#include "LibSource/retry_backoff.h"

namespace wagtailmount {

struct vm_list_reader_counters {
  std::uint64_t calls = 0;
  std::uint64_t lists = 0;
  std::uint64_t torn_reads = 0;  ///< Lists whose pages had different revisions.
  std::uint64_t failures = 0;
};

/// Polls the platform's list of VMs and delivers it complete, at one revision.
/// While the revision is unchanged, a poll costs one call. As with
/// folder_reader, all I/O is done by the platform_client, which may answer late
/// or never.
class vm_list_reader {
 public:
  struct settings {
    std::size_t fleet_size = 1;
    /// Mean interval between polls. Polling more often would gain little, as
    /// the list lags behind anyway.
    duration period = std::chrono::seconds{60};
    duration call_timeout = std::chrono::seconds{5};
    std::size_t maximum_vms = 60'000;
  };

  /// Called with the complete list after every poll, even if it is unchanged:
  /// how long an entry has been listed is significant too.
  using list_handler = std::function<void(std::uint64_t revision,
                                          const std::vector<vm_record>& vms)>;

  /// All references must outlive the reader.
  vm_list_reader(platform_client& client, read_budget& budget,
                 const runtime_clock& clock, random_source& random,
                 const settings& chosen, list_handler on_list);

  /// Starts or stops polling; both drop the call in flight.
  void SetReading(bool should_read);
  /// Handles a timeout and makes the next call if it is due. Call it several
  /// times a second.
  void Tick(time_point now);

  const vm_list_reader_counters& Counters() const { return counters_; }

 private:
  void OnPage(result<vm_page> page);
  void AddPage(vm_page page);
  /// Drops the list being read and starts over after `wait`.
  void RestartAfter(duration wait);
  void Deliver();

  platform_client& client_;
  read_budget& budget_;
  const runtime_clock& clock_;
  random_source& random_;
  settings settings_;
  list_handler on_list_;
  retry_backoff backoff_;

  bool is_reading_ = false;
  time_point resume_at_{};
  std::optional<std::uint64_t> revision_;  ///< Of the list being read, if any.
  std::string next_;
  std::vector<vm_record> records_;
  std::optional<std::uint64_t> delivered_revision_;
  std::vector<vm_record> delivered_;
  call_tracker calls_;
  vm_list_reader_counters counters_;
};

}  // namespace wagtailmount
