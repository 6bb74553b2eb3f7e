#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "LibLoad/request_fingerprint.h"

namespace wagtailmount {

/// A backend server crashed while it ran a request.
struct crash_report {
  request_fingerprint request;
  std::uint64_t crash = 0;  ///< The same for all requests that ran there.
  /// How many crashes in a row point to the request: those that were known
  /// where it was started, and this one unless another request that ran there
  /// is as suspect.
  std::uint32_t depth = 1;
  /// The request has been answered since, so it does not crash what runs it.
  bool is_refuted = false;
  std::chrono::milliseconds age{0};  ///< Time since the crash.
};

/// Where the crash reports of a node are kept. Thread-safe.
class crash_report_store {
 public:
  virtual ~crash_report_store() = default;

  /// Adds what another node reported; returns what was news.
  virtual std::vector<crash_report> Merge(
      std::span<const crash_report> reports) = 0;

  /// Returns what this node found out itself since the last call.
  virtual std::vector<crash_report> TakeNews() = 0;

  /// Sets what is called, from any thread, when there is something to take. It
  /// must not call this object.
  virtual void SetNewsListener(std::function<void()> listener) = 0;

  /// Returns the most telling reports, a bounded number, for a node that has
  /// none.
  virtual std::vector<crash_report> Summary() const = 0;
};

}  // namespace wagtailmount
