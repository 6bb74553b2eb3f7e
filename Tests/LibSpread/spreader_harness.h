#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "LibSpread/spreader.h"
#include "Tests/LibSpread/versions.h"

namespace wagtailmount::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Drives one spreader with simulated time and messages, and records its
/// effects.
struct spreader_harness {
  spreader_harness() : node({.vm = "n"}, 1, now) {}

  void RecordEffects(spread_effects&& effects) {
    for (auto& effect : effects) {
      if (auto* send = std::get_if<send_effect>(&effect)) {
        sent.push_back(*send);
      } else if (auto* in_force = std::get_if<in_force_effect>(&effect)) {
        revisions_in_force.push_back(in_force->version->Version().revision);
      } else if (auto* refused = std::get_if<refused_effect>(&effect)) {
        refusals.push_back(*refused);
      } else {
        ++conflicts;
      }
    }
  }

  void ConnectPeer(const std::string& vm, const version_id& held = {}) {
    hello_message hello;
    hello.sender.vm = vm;
    hello.held = held;
    hello.newest_seen = held.revision;
    RecordEffects(node.PeerUp(now, vm, hello));
  }

  void Receive(const std::string& vm, const message& content) {
    RecordEffects(node.Handle(now, vm, content));
  }

  void ReceiveOffer(const std::string& vm, std::uint64_t revision,
                    const std::vector<config_file>& files) {
    Receive(vm, offer_message{VersionOf(revision, files), 1, milliseconds{0}});
  }

  /// Receives the whole manifest and all files of a version, all of them
  /// correct.
  void ReceiveVersion(const std::string& vm, std::uint64_t revision,
                      const std::vector<config_file>& files) {
    Receive(vm, ManifestOf(revision, files));
    Receive(vm, BodiesOf(files));
  }

  void ReadFromPlatform(std::uint64_t revision) {
    RecordEffects(node.AcceptFromSource(now, revision, FolderAt(revision)));
  }

  void AdvanceTime(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds{100}) {
      now += milliseconds{100};
      RecordEffects(node.Tick(now));
    }
  }

  template <typename T>
  std::size_t CountSent(const std::string& vm) const {
    return static_cast<std::size_t>(
        std::count_if(sent.begin(), sent.end(), [&](const send_effect& each) {
          return each.peer_vm == vm && std::holds_alternative<T>(each.content);
        }));
  }

  time_point now{seconds{1000}};
  spreader node;
  std::vector<send_effect> sent;
  std::vector<std::uint64_t> revisions_in_force;
  std::vector<refused_effect> refusals;
  int conflicts = 0;
};

}  // namespace wagtailmount::testing
