#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include "LibBase/clock.h"
#include "LibConfig/configuration.h"
#include "LibLink/message.h"

namespace wagtailmount {

enum class join_decision : std::uint8_t {
  kWait,          ///< Not ready yet: refuse requests as not run.
  kServe,         ///< Serve requests with the held version.
  kServeNothing,  ///< The wait ended without a version that may be served:
                  ///< refuse requests as not run, with the reason that there is
                  ///< no configuration. Can still become kServe later.
};

struct join_settings {
  /// The longest wait for peers to report newer versions.
  duration join_wait = std::chrono::seconds{5};
  /// The wait may end early once this many peers have said hello, or all if
  /// fewer are expected.
  std::size_t enough_peers = 3;
};

/// Decides when a process that has just started may serve requests. VMs store
/// nothing across restarts, so a restarted node must learn from its peers which
/// version it served before; otherwise it could go back to an older one.
///
/// Guarantees:
///  - The node never begins to serve with a version below the greatest one that
///    this VM held according to the hellos received so far. Until it holds such
///    a version it refuses requests, however long that takes.
///  - It waits up to `join_wait` for the highest revision that its peers know,
///    unless that revision is refused. After that it may serve an older one,
///    because the newest may never be accepted.
///
/// Limits: if no peer that knows the last held version can be reached within
/// `join_wait`, because all of them failed together with this VM or the VM is
/// partitioned from them, the node serves what the platform provides. That is
/// older than what it served before if the platform was restored from an old
/// backup. If the whole fleet fails while the folder is invalid, no version
/// exists at all: the result is kServeNothing until the folder is corrected.
class join_gate {
 public:
  join_gate(const join_settings& settings, time_point now);

  /// Sets how many peers this node should have links to; 0 while unknown.
  void SetExpectedPeers(std::size_t peers) { expected_peers_ = peers; }

  void NoteHello(const hello_message& hello);

  /// Records that a revision was refused, by this node or by a peer.
  void NoteRefused(std::uint64_t revision);

  /// Restarts the wait after the process was paused, since it could receive
  /// nothing meanwhile.
  void AfterPause(time_point now);

  /// Whether requests may be served with `held`. Once the result is kServe, it
  /// never changes back.
  join_decision Decide(time_point now, const version_id& held);

  /// The lowest version that may be served; revision 0 when any may.
  const version_id& LeastVersion() const { return least_version_; }

  /// The number of hellos, after serving had begun, which reported that this VM
  /// had held a greater version than the one served.
  std::uint64_t LateVersionReports() const { return late_version_reports_; }

 private:
  join_settings settings_;
  time_point deadline_;
  std::size_t expected_peers_ = 0;
  std::set<std::string> peers_heard_;
  version_id least_version_;
  std::uint64_t newest_revision_ = 0;
  std::uint64_t greatest_refused_ = 0;
  std::uint64_t late_version_reports_ = 0;
  version_id served_version_;
  bool is_serving_ = false;
};

}  // namespace wagtailmount
