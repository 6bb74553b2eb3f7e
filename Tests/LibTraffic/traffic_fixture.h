#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibLog/structured_log.h"
#include "LibTraffic/traffic_server.h"
#include "Tests/LibTraffic/fake_backend_server.h"

namespace wagtailmount::testing {

/// What a node logs, kept in a file without a name.
class test_log {
 public:
  explicit test_log(const runtime_clock& clock);
  ~test_log();
  test_log(const test_log&) = delete;
  test_log& operator=(const test_log&) = delete;

  structured_log& Log() { return log_; }
  /// All lines so far.
  std::string Text();

 private:
  int descriptor_ = -1;
  structured_log log_;
};

/// A simulated VM: its node and its backend server.
struct test_vm {
  std::string vm;
  std::string failure_domain;
  /// Where the node accepts callers.
  endpoint caller_address = FreeEndpoint();
  /// Where the node accepts requests from other nodes.
  endpoint hop_address = FreeEndpoint();
  std::unique_ptr<fake_backend_server> backend_server;
  endpoint backend_address;       ///< Stays set when backend_server is reset.
  std::unique_ptr<test_log> log;  ///< Outlives the server.
  std::unique_ptr<traffic_server> server;
};

/// Limits of the service "ledger", and retries and deadline of its routes: "/",
/// "/background" (background priority) and "/repeatable" (always idempotent).
/// Of the route "/split", a quarter goes to the service "other", which has no
/// upstream.
struct fixture_options {
  upstream_limits limits;
  std::uint32_t attempts = 3;
  double budget_share = 1.0;  ///< Retries allowed per request.
  std::chrono::milliseconds deadline{2'000};
  std::chrono::milliseconds latency_objective{0};  ///< 0: there is none.
  std::uint32_t maximum_descriptors = 0;  ///< Of each node; 0 if unknown.
  std::chrono::milliseconds idle_timeout{15'000};   ///< Of callers.
  std::chrono::milliseconds header_timeout{3'000};  ///< Of callers.
  double cold_overage = 1.0;
  std::uint32_t cold_slack = 0;
  double link_megabits_per_second = 0.0;  ///< Of each node; 0 if unknown.
  /// Names the id of the backend server that a request is meant for; empty if
  /// backend servers have none.
  std::string_view expected_backend_server;
  /// Whether an answer without a length may end with its connection.
  bool may_end_with_connection = false;
};

/// One request at a time at each backend server, so that the next ones wait;
/// one attempt, and more time than a test takes.
fixture_options SingleSlotOptions();

/// Runs the nodes and backend servers of several VMs in this process. All nodes
/// get the same routing snapshot. VM 0 has no backend server of the service
/// "ledger", so its node only forwards requests to the other VMs.
class traffic_fixture {
 public:
  /// Starts "vm-0" with service "other", and `owners` VMs with service "ledger"
  /// named "vm-1", "vm-2", ... `threads` is the traffic threads of each node.
  explicit traffic_fixture(int owners, fixture_options options = {},
                           std::uint32_t threads = 1);
  /// Prints what the nodes logged if the test case has failed.
  ~traffic_fixture();
  traffic_fixture(const traffic_fixture&) = delete;
  traffic_fixture& operator=(const traffic_fixture&) = delete;

  /// VM 0, whose node receives requests and sends them to the owners.
  test_vm& Entry() { return vms_.front(); }
  /// VM `number`, from 1: its node owns the upstream of that VM.
  test_vm& Owner(int number) { return vms_[number]; }

  /// Takes effect with the next Publish().
  void SetIdleTimeout(std::chrono::milliseconds timeout) {
    options_.idle_timeout = timeout;
  }

  /// Ends the node of an owner and starts it again at the same addresses. It
  /// knows nothing until the next Publish().
  void RestartOwner(int number);

  /// The same for VM 0.
  void RestartEntry();

  /// Ends the backend server of an owner and starts it again at its address.
  void RestartBackendServer(int number);

  /// Publishes a new snapshot on all nodes. `edit_upstream` may alter each
  /// upstream; `own` describes the backend server beside every node.
  void Publish(const std::function<void(upstream&)>& edit_upstream = {},
               const std::optional<own_backend_server>& own = std::nullopt);
  /// The same on one node only.
  void PublishTo(test_vm& vm,
                 const std::function<void(upstream&)>& edit_upstream,
                 const std::optional<own_backend_server>& own);
  time_point Now() const { return clock_.Now(); }

 private:
  void StartNode(test_vm& vm, const std::string& service);
  std::shared_ptr<const configuration> MakeConfiguration() const;
  std::shared_ptr<const routing_snapshot> MakeSnapshot(
      const std::function<void(upstream&)>& edit_upstream,
      const std::optional<own_backend_server>& own) const;

  fixture_options options_;
  std::uint32_t threads_ = 1;
  system_runtime_clock clock_;
  std::vector<test_vm> vms_;
};

/// An answer as read by a caller. Status 0: no complete header was received.
struct received_answer {
  bool is_complete = false;
  int status = 0;
  std::string head;
  std::string body;

  /// The value of a header field; empty if it is absent. The name's case must
  /// match.
  std::string Field(const std::string& name) const;
};

/// A client connection that sends raw bytes, so that tests can send malformed
/// requests.
class test_caller {
 public:
  explicit test_caller(const endpoint& address);
  ~test_caller();
  test_caller(const test_caller&) = delete;
  test_caller& operator=(const test_caller&) = delete;

  bool Send(std::string_view text);
  /// Reads one answer; `has_no_body` expects no body, as after HEAD or for an
  /// interim answer. Gives up when nothing arrives for 10 s.
  received_answer Receive(bool has_no_body = false);
  /// Reads and drops what comes until the peer closes the connection or `limit`
  /// has passed. Returns the last bytes, up to 16, or nothing if the peer has
  /// not closed it.
  std::optional<std::string> Discard(std::chrono::milliseconds limit);
  /// Waits up to 1.5 s; true if the peer closes the connection without sending
  /// anything more.
  bool IsClosed();
  /// After Receive() found the connection closed: whether the peer had read
  /// everything that was sent. Otherwise its system answers with a reset, which
  /// this waits for.
  bool HasPeerReadEverything();
  void Close();

 private:
  int socket_ = -1;
  std::string unread_;
};

/// Sends one request on a new connection and returns its answer. Each line of
/// `header_lines` is a header field that ends with CRLF.
received_answer Call(const endpoint& address, const std::string& method,
                     const std::string& target,
                     const std::string& header_lines = {},
                     const std::string& body = {});

/// Polls `condition` for up to 5 s; true as soon as it holds.
bool Eventually(const std::function<bool()>& condition);

}  // namespace wagtailmount::testing
