#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/error.h"
#include "LibConfig/configuration.h"
#include "LibMembership/vm_record.h"

namespace wagtailmount {

/// One page of the folder's listing. All pages of a consistent listing have the
/// same revision.
struct listing_page {
  std::uint64_t revision = 0;
  std::vector<manifest_entry> entries;
  std::string next;  ///< `after` of the next call; empty on the last page.
};

/// One page of the platform's list of VMs. The list lags behind the actual
/// state of the VMs.
struct vm_page {
  std::uint64_t revision = 0;
  std::vector<vm_record>
      records;       ///< `incarnation` is 0, `state` is kServing or kLeaving.
  std::string next;  ///< `after` of the next call; empty on the last page.
};

/// Read-only access to the platform's services. Each call counts towards the
/// platform's rate limit. Answers arrive on the thread that made the call. Only
/// http_platform_client uses the network; tests use fakes.
class platform_client {
 public:
  template <typename T>
  using answer = std::function<void(result<T>)>;

  virtual ~platform_client() = default;

  /// The page of the folder's listing that starts after the name `after`; the
  /// first page if it is empty.
  virtual void List(std::string_view after, answer<listing_page> done) = 0;
  /// The content of the file `name`, which must have the digest
  /// `content_digest`; kConflict if the file has changed since.
  virtual void Read(std::string_view name, const digest& content_digest,
                    answer<std::string> done) = 0;
  /// Long poll: answers with the folder's revision as soon as it differs from
  /// `known`, or unchanged after the platform's wait of at most 30 s.
  virtual void Watch(std::uint64_t known, answer<std::uint64_t> done) = 0;
  /// The page of the VM list that starts after the VM `after`; the first page
  /// if it is empty.
  virtual void ListVms(std::string_view after, answer<vm_page> done) = 0;
};

}  // namespace wagtailmount
