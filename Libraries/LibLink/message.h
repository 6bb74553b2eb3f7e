#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "LibCatalog/catalog.h"
#include "LibConfig/acceptance.h"
#include "LibConfig/configuration.h"
#include "LibLoad/crash_report.h"
#include "LibMembership/vm_record.h"

namespace wagtailmount {

/// Stands for "no confirmation at the platform was ever heard of" wherever a
/// message carries a source age; greater ages are not told apart.
inline constexpr std::chrono::milliseconds kUnknownSourceAge =
    std::chrono::hours{24};

/// The first message in each direction of a link.
struct hello_message {
  static constexpr std::uint32_t kProtocol = 1;

  std::uint32_t protocol = kProtocol;
  vm_record sender;
  version_id held;  ///< What the sender holds in force; revision 0 for nothing.
  std::uint64_t newest_seen =
      0;  ///< The highest revision the sender has heard of.
  version_id receiver_last_held;  ///< The greatest version the sender ever saw
                                  ///< the receiver's VM hold.
};

/// "I hold this accepted version."
struct offer_message {
  version_id version;
  std::uint32_t hops = 0;  ///< Links passed since the reader that accepted it.
  std::chrono::milliseconds source_age{
      0};  ///< Time since a reader last confirmed it at the platform.
};

/// "Send me the manifest of `wanted`, as a difference to `held` if you still
/// know that."
struct pull_message {
  static constexpr std::size_t kMaximumNames = 1'024;

  version_id wanted;
  version_id held;
  /// Names that changed in the sender's last versions; the difference covers
  /// them too, for the receiver may have skipped `held`.
  std::vector<std::string> recently_changed;
};

struct manifest_message {
  version_id version;
  version_id base;  ///< Revision 0: the manifest is whole.
  std::vector<manifest_entry> changed;
  std::vector<std::string> removed;
};

struct files_request_message {
  std::vector<digest> wanted;
};

struct file_body {
  digest content_digest;
  std::string content;
};

struct files_message {
  std::vector<file_body> bodies;
  std::vector<digest>
      missing;  ///< Asked for, but no longer held by the sender.
};

/// "This version is refused, for these reasons."
struct refusal_message {
  refusal refused;
};

struct membership_message {
  std::vector<vm_record> records;
  /// The records answer a comparison or a joiner's request: they are no news to
  /// pass on.
  bool is_repair = false;
};

/// The periodic comparison, which is the heartbeat of a link too.
struct compare_message {
  version_id held;
  std::uint64_t newest_seen = 0;
  std::uint64_t membership_hash = 0;
  std::chrono::milliseconds source_age{0};
};

/// "Our membership differs: send me what I lack", answered by membership
/// messages. Without hashes, all records are sent.
struct membership_request_message {
  static constexpr std::size_t kMaximumBuckets = 1'024;

  std::vector<std::uint64_t> bucket_hashes;
};

/// "My catalog is complete up to this revision." Sent every while, which is the
/// heartbeat of a link too.
struct catalog_state_message {
  static constexpr std::size_t kMostFastVms = 4;

  std::uint64_t complete_to = 0;
  /// Time since the sender surely held the platform's newest state.
  std::chrono::milliseconds source_age{0};
  /// VMs of the sender's failure domain whose link it knows to be fast.
  std::vector<std::string> fast_vms;
  std::uint64_t era = 0;  ///< Of `complete_to`.
};

/// "Send me what changed after this revision." A receiver in another era sends
/// its whole catalog if its era is newer.
struct catalog_request_message {
  std::uint64_t after = 0;
  std::uint64_t era = 0;  ///< Of `after`.
};

struct catalog_update_message {
  catalog_update update;
  std::chrono::milliseconds source_age{0};
};

/// Crashes of backend servers, with the requests that ran at them.
struct crash_reports_message {
  static constexpr std::size_t kMaximumReports = 128;

  std::vector<crash_report> reports;
};

using message = std::variant<
    hello_message, offer_message, pull_message, manifest_message,
    files_request_message, files_message, refusal_message, membership_message,
    compare_message, membership_request_message, catalog_state_message,
    catalog_request_message, catalog_update_message, crash_reports_message>;

}  // namespace wagtailmount
