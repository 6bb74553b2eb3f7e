#pragma once

#include <span>
#include <string>

#include "LibLink/message.h"
#include "LibLoad/crash_report.h"
#include "LibNode/peer_links.h"

namespace wagtailmount {

/// Passes crash reports between the request path of this node and its peers.
/// Each report that is news here goes on to all other peers, so it reaches
/// every node that is linked, whatever the links are for.
class crash_report_relay {
 public:
  /// `links` must outlive the object.
  explicit crash_report_relay(peer_links& links) : links_(links) {}

  /// Sets where the reports of this node are kept; without it, nothing is sent
  /// and reports of peers are only passed on by others. Must outlive the
  /// object.
  void SetStore(crash_report_store& store) { store_ = &store; }

  /// Sends what this node found out to all peers.
  void SendNews();

  /// Sends what is known to a peer that has just been linked.
  void OnPeerUp(const std::string& peer_vm);

  /// Adds what a peer sent, and passes on what is news.
  void Handle(const std::string& peer_vm, const crash_reports_message& sent);

 private:
  void Send(const std::string& peer_vm, std::span<const crash_report> reports);
  void SendToAllBut(const std::string& peer_vm,
                    std::span<const crash_report> reports);

  peer_links& links_;
  crash_report_store* store_ = nullptr;
};

}  // namespace wagtailmount
