#include "LibNode/crash_report_relay.h"

#include <algorithm>

namespace wagtailmount {

void crash_report_relay::SendNews() {
  if (store_ != nullptr) {
    SendToAllBut({}, store_->TakeNews());
  }
}

void crash_report_relay::OnPeerUp(const std::string& peer_vm) {
  if (store_ != nullptr) {
    Send(peer_vm, store_->Summary());
  }
}

void crash_report_relay::Handle(const std::string& peer_vm,
                                const crash_reports_message& sent) {
  if (store_ != nullptr) {
    SendToAllBut(peer_vm, store_->Merge(sent.reports));
  }
}

void crash_report_relay::SendToAllBut(const std::string& peer_vm,
                                      std::span<const crash_report> reports) {
  if (reports.empty()) {
    return;
  }
  for (const std::string& each : links_.Peers()) {
    if (each != peer_vm) {
      Send(each, reports);
    }
  }
}

void crash_report_relay::Send(const std::string& peer_vm,
                              std::span<const crash_report> reports) {
  while (!reports.empty()) {
    const auto part = reports.first(
        std::min(reports.size(), crash_reports_message::kMaximumReports));
    reports = reports.subspan(part.size());
    links_.Send(peer_vm, crash_reports_message{{part.begin(), part.end()}});
  }
}

}  // namespace wagtailmount
