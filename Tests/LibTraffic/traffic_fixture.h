#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibTraffic/traffic_server.h"
#include "Tests/LibTraffic/fake_backend_server.h"

namespace wagtailmount::testing {

/// One VM of a test: its node and its backend server.
struct test_vm {
  std::string vm;
  std::string failure_domain;
  endpoint caller = FreeEndpoint();
  endpoint hop = FreeEndpoint();
  std::unique_ptr<fake_backend_server> backend_server;
  endpoint backend_address;  ///< Of the backend server, or where none listens.
  std::unique_ptr<traffic_server> server;
};

/// What the tests ask of the configuration: one service and one route "/" to
/// it, with a route "/background" and "/repeatable" (always idempotent).
struct test_policy {
  upstream_limits limits;
  std::uint32_t attempts = 3;
  double budget_share = 1.0;
  std::chrono::milliseconds deadline{2'000};
};

/// VMs of the service "ledger" whose entry nodes share one snapshot. VM 0 may
/// have no backend server of the service: it is then an entry only.
class traffic_fixture {
 public:
  /// `owners` VMs named "vm-1" on; "vm-0" is an entry of service "other".
  explicit traffic_fixture(int owners, test_policy policy = {},
                           std::uint32_t threads = 1);

  test_vm& Entry() { return vms_.front(); }
  test_vm& Owner(int number) { return vms_[number]; }

  /// Puts a snapshot in force on all VMs; `change` may alter each upstream.
  void Publish(const std::function<void(upstream&)>& change = {},
               const std::optional<own_backend_server>& own = std::nullopt);
  time_point Now() const { return clock_.Now(); }

 private:
  std::shared_ptr<const configuration> MakeConfiguration() const;

  test_policy policy_;
  system_runtime_clock clock_;
  std::vector<test_vm> vms_;
};

/// An answer as a caller reads it.
struct received_answer {
  bool is_whole = false;
  int status = 0;
  std::string head;
  std::string body;

  /// The value of a header field; empty when there is none.
  std::string Field(const std::string& name) const;
};

/// A caller's connection that sends bytes as they are.
class test_caller {
 public:
  explicit test_caller(const endpoint& where);
  ~test_caller();
  test_caller(const test_caller&) = delete;
  test_caller& operator=(const test_caller&) = delete;

  bool Send(std::string_view text);
  received_answer Receive(bool is_head = false);
  /// True when the other side has closed within a second.
  bool IsClosed();
  void Close();

 private:
  int socket_ = -1;
  std::string unread_;
};

/// One request on a connection of its own; `fields` are whole header lines.
received_answer Call(const endpoint& where, const std::string& method,
                     const std::string& target, const std::string& fields = {},
                     const std::string& body = {});

/// Waits up to five seconds for `condition`.
bool Eventually(const std::function<bool()>& condition);

}  // namespace wagtailmount::testing
