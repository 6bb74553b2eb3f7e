#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "Tests/LibMembership/membership_fixture.h"

namespace wagtailmount {

/// Simulates VMs that gossip over a network which loses, delays, reorders and
/// duplicates messages. Each VM has links to `kPeers` neighbours and learns at
/// once whether a neighbour is reachable.
class simulated_gossip {
 public:
  static constexpr std::size_t kVms = 100;
  static constexpr std::size_t kVmsPerDomain = 20;
  static constexpr std::size_t kPeers = 12;

  /// Each VM passes a change on to `fanout` of its neighbours on average.
  explicit simulated_gossip(std::uint64_t seed, std::size_t fanout = kPeers)
      : random_(seed), fanout_(fanout) {
    for (std::size_t i = 0; i < kVms; ++i) {
      Start(i);
    }
  }

  void Start(std::size_t i) {
    vms_[i].table =
        std::make_unique<membership>(membership_settings{},
                                     Vm(NameOf(i), std::to_string(DomainOf(i)),
                                        Incarnation(), vm_state::kStarting),
                                     clock_.Now());
    vms_[i].table->AnnounceSelf(clock_.Now(), vm_state::kServing);
  }
  /// Stops the process without announcing that it leaves.
  void Kill(std::size_t i) { vms_[i].table.reset(); }
  void Leave(std::size_t i) {
    vms_[i].table->AnnounceSelf(clock_.Now(), vm_state::kLeaving);
  }
  /// Stops the processes of all leaving VMs.
  void StopLeavingVms() {
    for (auto& one : vms_) {
      if (one.table && one.table->Self().state == vm_state::kLeaving) {
        one.table.reset();
      }
    }
  }
  /// Pauses the process for a number of steps; it detects that only afterwards.
  void Pause(std::size_t i, std::uint64_t steps) {
    vms_[i].paused_until = step_ + steps;
  }
  void PartitionDomain(std::optional<std::size_t> domain) {
    partitioned_domain_ = domain;
  }

  bool IsAlive(std::size_t i) const { return vms_[i].table != nullptr; }
  bool IsPaused(std::size_t i) const { return vms_[i].paused_until > step_; }
  const membership& TableOf(std::size_t i) const { return *vms_[i].table; }
  random_source& Random() { return random_; }
  std::uint64_t RecordsSent() const { return records_sent_; }

  static std::string NameOf(std::size_t i) { return "vm-" + std::to_string(i); }
  static std::size_t DomainOf(std::size_t i) { return i / kVmsPerDomain; }

  /// Advances the clock by one second, delivers the messages that are due and
  /// lets every running VM act once.
  void Step() {
    clock_.Advance(std::chrono::seconds{1});
    ++step_;
    Deliver();
    for (std::size_t i = 0; i < kVms; ++i) {
      if (IsAlive(i) && !IsPaused(i)) {
        Act(i);
      }
    }
  }

 private:
  static constexpr std::array<std::size_t, 6> kNeighbourOffsets = {1,  2,  5,
                                                                   20, 33, 41};
  static constexpr std::size_t kDeltaRecords = 50;

  struct vm {
    std::unique_ptr<membership> table;
    std::uint64_t paused_until = 0;
    std::uint64_t last_step = 0;
  };
  struct packet {
    std::uint64_t due;
    std::size_t from;
    std::size_t to;
    record_origin origin;
    std::vector<vm_record> records;
  };

  /// Returns the start time as seen by a VM whose clock is up to a minute
  /// ahead.
  std::uint64_t Incarnation() {
    return static_cast<std::uint64_t>(clock_.UnixMilliseconds()) +
           random_.Below(60'000);
  }

  bool CanReach(std::size_t from, std::size_t to) const {
    const bool is_partitioned = partitioned_domain_ &&
                                DomainOf(from) != DomainOf(to) &&
                                (DomainOf(from) == *partitioned_domain_ ||
                                 DomainOf(to) == *partitioned_domain_);
    return IsAlive(to) && !IsPaused(to) && !is_partitioned;
  }

  void Act(std::size_t i) {
    membership& table = *vms_[i].table;
    const time_point now = clock_.Now();
    if (vms_[i].last_step + 3 < step_ && vms_[i].last_step > 0) {
      table.AfterPause(now);
    }
    vms_[i].last_step = step_;
    const auto delta = table.TakeDelta(kDeltaRecords);
    for (const std::size_t offset : kNeighbourOffsets) {
      for (const std::size_t peer :
           {(i + offset) % kVms, (i + kVms - offset) % kVms}) {
        const auto effects = CanReach(i, peer)
                                 ? table.PeerReachable(now, NameOf(peer))
                                 : table.PeerUnreachable(now, NameOf(peer));
        if (effects.correction) {
          Send(i, peer, {*effects.correction});
        }
        if (random_.Below(kPeers) < fanout_) {
          Send(i, peer, delta);
        }
      }
    }
    table.Tick(now);
    if ((step_ + i) % 5 == 0) {
      Compare(i);
    }
  }

  /// Compares hashes with a random neighbour; both send repairs if they differ.
  void Compare(std::size_t i) {
    const std::size_t offset =
        kNeighbourOffsets[random_.Below(kNeighbourOffsets.size())];
    const std::size_t peer = (i + offset) % kVms;
    if (!CanReach(i, peer)) {
      return;
    }
    const membership& own = *vms_[i].table;
    const membership& other = *vms_[peer].table;
    if (own.Hash() != other.Hash()) {
      Send(peer, i, other.RecordsToRepair(own.BucketHashes()),
           record_origin::kRepair);
      Send(i, peer, own.RecordsToRepair(other.BucketHashes()),
           record_origin::kRepair);
    }
  }

  void Send(std::size_t from, std::size_t to, std::vector<vm_record> records,
            record_origin origin = record_origin::kGossip) {
    const bool is_lost = random_.Below(5) == 0;
    records_sent_ += records.size();
    if (records.empty() || !CanReach(from, to) || is_lost) {
      return;
    }
    const std::size_t copies = random_.Below(10) == 0 ? 2 : 1;
    for (std::size_t copy = 0; copy < copies; ++copy) {
      packets_.push_back(
          {step_ + 1 + random_.Below(4), from, to, origin, records});
    }
  }

  void Deliver() {
    auto packets = std::move(packets_);
    packets_.clear();
    for (auto& one : packets) {
      if (one.due > step_) {
        packets_.push_back(std::move(one));
      } else if (CanReach(one.from, one.to)) {
        for (const auto& record : one.records) {
          const auto effects = vms_[one.to].table->MergeAnnouncement(
              clock_.Now(), record, one.origin);
          if (effects.correction) {
            Send(one.to, one.from, {*effects.correction});
          }
        }
      }
    }
  }

  manual_clock clock_;
  random_source random_;
  std::size_t fanout_;
  std::uint64_t step_ = 0;
  std::uint64_t records_sent_ = 0;
  std::array<vm, kVms> vms_;
  std::vector<packet> packets_;
  std::optional<std::size_t> partitioned_domain_;
};

}  // namespace wagtailmount
