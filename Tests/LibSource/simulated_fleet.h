#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "LibSource/folder_reader.h"
#include "LibSource/reader_selection.h"
#include "Tests/LibSource/fake_platform.h"

namespace wagtailmount {

/// Simulates all nodes of a fleet, each with its own reader and read budget,
/// against one fake platform. Shared state replaces the exchange between peers:
/// it holds the platform's last confirmation and the files that any node has
/// read. Nodes see both only after `kPropagationDelay`.
class simulated_fleet {
 public:
  static constexpr double kPlatformCallsPerSecond = 2'000;
  static constexpr std::size_t kFailureDomains = 13;
  static constexpr duration kPropagationDelay = std::chrono::seconds{2};
  static constexpr duration kStep = std::chrono::milliseconds{250};
  /// Coarser step for long periods with few events.
  static constexpr duration kLongStep = std::chrono::seconds{1};

  explicit simulated_fleet(std::size_t size) : platform(clock) {
    std::vector<std::vector<vm_record>> domains(kFailureDomains);
    for (std::size_t i = 0; i < size; ++i) {
      vm_record record;
      record.vm = "vm-" + std::to_string(i);
      record.failure_domain = std::to_string(i % kFailureDomains);
      record.incarnation = 1;
      record.state = vm_state::kServing;
      domains[i % kFailureDomains].push_back(record);
    }
    for (auto& domain : domains) {
      // Same order as ReaderRank(), which would be slow to call for every node.
      std::sort(domain.begin(), domain.end(),
                [](const vm_record& left, const vm_record& right) {
                  return ReaderHash(left.vm) < ReaderHash(right.vm);
                });
      for (std::size_t rank = 0; rank < domain.size(); ++rank) {
        nodes_.push_back(
            std::make_unique<node>(*this, domain[rank], rank, size));
      }
    }
  }

  /// Restarts all nodes at the same time and clears the files shared by peers.
  void RestartAll() {
    shared_revision_ = 0;
    shared_files_.clear();
    confirmed_revision_ = 0;
    for (auto& one : nodes_) {
      one->Restart();
    }
  }

  /// When true, every node reads regardless of its rank.
  void ForceAllToRead(bool forced) { all_forced_to_read_ = forced; }

  void Run(duration period, duration step = kStep) {
    const time_point end = clock.Now() + period;
    while (clock.Now() < end) {
      clock.Advance(step);
      platform.Run();
      for (auto& one : nodes_) {
        one->Step();
      }
    }
  }

  std::size_t ReaderCount() const {
    return static_cast<std::size_t>(std::count_if(
        nodes_.begin(), nodes_.end(),
        [](const auto& one) { return one->reader->IsReading(); }));
  }

  std::uint64_t ConfirmedRevision() const { return confirmed_revision_; }

  manual_clock clock;
  fake_platform platform;

 private:
  struct node {
    node(simulated_fleet& owner, const vm_record& record,
         std::size_t rank_in_domain, std::size_t fleet_size)
        : fleet(owner),
          vm(record.vm),
          size(fleet_size),
          rank(rank_in_domain),
          random(ReaderHash(record.vm)),
          jitter(random.Fraction()) {
      Restart();
    }

    void Restart() {
      const time_point now = fleet.clock.Now();
      held_revision = 0;
      budget = std::make_unique<read_budget>(
          read_budget::settings{vm, kPlatformCallsPerSecond, size}, now,
          random);
      folder_reader::settings chosen;
      chosen.fleet_size = size;
      reader = std::make_unique<folder_reader>(
          fleet.platform, *budget, fleet.clock, random, chosen,
          folder_reader::callbacks{
              [this](std::uint64_t revision, const auto& files) {
                fleet.RecordSnapshot(revision, files);
              },
              [this](std::uint64_t revision) {
                fleet.RecordConfirmation(revision);
              },
              nullptr});
    }

    void Step() {
      const time_point now = fleet.clock.Now();
      reader->SetReading(fleet.all_forced_to_read_ ||
                         ShouldRead(rank, fleet.SourceAge(now), jitter, {}));
      if (fleet.shared_revision_ != held_revision &&
          fleet.shared_since_ + kPropagationDelay <= now) {
        held_revision = fleet.shared_revision_;
        reader->SetHeldFiles(fleet.shared_files_);
      }
      reader->Tick(now);
    }

    simulated_fleet& fleet;
    std::string vm;
    std::size_t size;
    std::size_t rank;
    random_source random;
    double jitter;
    std::uint64_t held_revision = 0;
    std::unique_ptr<read_budget> budget;
    std::unique_ptr<folder_reader> reader;
  };

  void RecordSnapshot(std::uint64_t revision,
                      const std::vector<config_file>& files) {
    if (revision > shared_revision_) {
      shared_revision_ = revision;
      shared_since_ = clock.Now();
      shared_files_ = files;
    }
    RecordConfirmation(revision);
  }

  void RecordConfirmation(std::uint64_t revision) {
    confirmed_revision_ = std::max(confirmed_revision_, revision);
    confirmations_.push_back(clock.Now());
  }

  duration SourceAge(time_point now) {
    while (confirmations_.size() > 1 &&
           confirmations_[1] + kPropagationDelay <= now) {
      confirmations_.pop_front();
    }
    return confirmations_.empty() ? now - started_
                                  : now - confirmations_.front();
  }

  time_point started_ = clock.Now();
  bool all_forced_to_read_ = false;
  std::uint64_t confirmed_revision_ = 0;
  std::uint64_t shared_revision_ = 0;
  time_point shared_since_{};
  std::vector<config_file> shared_files_;
  std::deque<time_point> confirmations_;
  std::vector<std::unique_ptr<node>> nodes_;
};

}  // namespace wagtailmount
