#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibSpread/join_gate.h"
#include "LibSpread/overlay.h"
#include "LibSpread/spreader.h"

namespace wagtailmount::testing {

struct fleet_settings {
  std::size_t vms = 64;
  std::size_t domains = 4;
  std::size_t regions = 2;
  std::uint64_t seed = 1;
  double loss = 0;  ///< Fraction of messages that are lost, 0 to 1.
  duration min_delay = std::chrono::milliseconds{1};
  duration max_delay = std::chrono::milliseconds{40};
  spread_settings spread = {};
  overlay_settings overlay = {};
};

/// Simulates a fleet of spreaders in one process on a simulated clock. Messages
/// between them are lost, delayed and reordered at random, from one seed.
class spread_fleet {
 public:
  struct node {
    std::string vm;
    std::string domain;
    std::string region;
    std::unique_ptr<spreader> spread;
    std::unique_ptr<join_gate> gate;
    bool is_paused = false;
    bool is_down = false;
    /// The greatest version that any process of this VM has served.
    version_id greatest_served;
    std::set<std::size_t> linked_peers;
    /// Events that arrived while the process was paused.
    std::vector<std::function<void()>> pending_events;
    std::uint64_t sent_bytes = 0;
  };

  explicit spread_fleet(const fleet_settings& settings)
      : settings_(settings), random_(settings.seed) {
    for (std::size_t i = 0; i < settings.vms; ++i) {
      const std::size_t domain = i % settings.domains;
      node added;
      added.vm = "vm-" + std::to_string(i);
      added.domain = "d" + std::to_string(domain);
      added.region = "r" + std::to_string(domain % settings.regions);
      nodes.push_back(std::move(added));
    }
    ChooseLinks();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      Start(i);
      Schedule(now + RandomDelay(kTickPeriod), [this, i] { Tick(i); });
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      for (const std::size_t peer : wanted_peers_[i]) {
        ScheduleLink(i, peer);
      }
    }
  }

  /// Lets node `reader` read a new revision from the platform. If the folder is
  /// valid, its version is noted as published; a node that puts any other
  /// version in force is reported in `violations`.
  void Publish(std::uint64_t revision, const std::vector<config_file>& files,
               std::size_t reader) {
    auto accepted = AcceptFolder(revision, files, nullptr);
    if (accepted) {
      published_[(*accepted)->Version()] = now;
    }
    ReadAt(reader, revision, files);
  }

  void ReadAt(std::size_t reader, std::uint64_t revision,
              const std::vector<config_file>& files) {
    CarryOut(reader,
             nodes[reader].spread->AcceptFromSource(now, revision, files));
  }

  void Run(duration time) {
    const time_point end = now + time;
    while (!queue_.empty() && queue_.top().at <= end) {
      auto next = queue_.top();
      queue_.pop();
      now = next.at;
      next.action();
    }
    now = end;
  }

  /// Stops the process of node `i` and closes its links. Restart() starts a new
  /// process, which has none of the old one's state.
  void Kill(std::size_t i) {
    CloseAllLinks(i);
    nodes[i].is_down = true;
    nodes[i].spread.reset();
    nodes[i].pending_events.clear();
    ++process_generations_[i];
  }

  void Restart(std::size_t i) {
    nodes[i].is_down = false;
    nodes[i].is_paused = false;
    Start(i);
    Schedule(now + RandomDelay(kTickPeriod), [this, i] { Tick(i); });
    for (const std::size_t peer : wanted_peers_[i]) {
      ScheduleLink(i, peer);
    }
  }

  void Pause(std::size_t i) { nodes[i].is_paused = true; }

  void Resume(std::size_t i) {
    nodes[i].is_paused = false;
    auto waiting = std::move(nodes[i].pending_events);
    nodes[i].pending_events.clear();
    for (const auto& action : waiting) {
      action();
    }
    Tick(i);
  }

  /// Partitions the network: closes every link between nodes for which `side`
  /// returns different values, and lets none open between them until
  /// HealPartition().
  void Partition(const std::function<bool(const node&)>& side) {
    side_ = side;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      const auto linked_peers = nodes[i].linked_peers;
      for (const std::size_t peer : linked_peers) {
        if (!IsLinkPossible(i, peer)) {
          CloseLink(i, peer);
        }
      }
    }
  }

  void HealPartition() {
    side_ = nullptr;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      for (const std::size_t peer : wanted_peers_[i]) {
        ScheduleLink(i, peer);
      }
    }
  }

  std::size_t CountHolding(std::uint64_t revision) const {
    return static_cast<std::size_t>(
        std::count_if(nodes.begin(), nodes.end(), [&](const node& each) {
          return each.spread != nullptr &&
                 each.spread->HeldVersion().revision == revision;
        }));
  }

  /// Sums a counter over all running processes.
  std::uint64_t Sum(std::uint64_t spread_counters::*counter) const {
    std::uint64_t sum = 0;
    for (const auto& each : nodes) {
      sum += each.spread == nullptr ? 0 : each.spread->Counters().*counter;
    }
    return sum;
  }

  std::vector<node> nodes;
  time_point now{std::chrono::seconds{1000}};
  std::vector<std::string> violations;  ///< Violated invariants, as messages.
  /// Time from publication to being in force, one for each node and version.
  std::vector<duration> convergence;
  std::vector<std::uint32_t> hops;
  std::size_t refusals = 0;  ///< Refusals that nodes have reported.
  /// Returns the size of a message on the wire in bytes. Sent bytes are counted
  /// only if this is set.
  std::function<std::size_t(const message&)> message_size;

 private:
  static constexpr std::chrono::milliseconds kTickPeriod{200};

  struct event {
    time_point at;
    std::uint64_t sequence = 0;
    std::function<void()> action;

    bool operator<(const event& other) const {
      return std::pair(other.at, other.sequence) < std::pair(at, sequence);
    }
  };

  void Schedule(time_point at, std::function<void()> action) {
    queue_.push({at, ++scheduled_events_, std::move(action)});
  }

  duration RandomDelay(duration limit) {
    return duration{random_.Below(static_cast<std::uint64_t>(limit.count()))};
  }

  void ChooseLinks() {
    std::vector<overlay_vm> vms;
    std::map<std::string, std::size_t, std::less<>> index_of;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      vms.push_back({nodes[i].vm, nodes[i].region, nodes[i].domain});
      index_of[nodes[i].vm] = i;
    }
    wanted_peers_.resize(nodes.size());
    process_generations_.resize(nodes.size());
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      for (const auto& link : LinksOf(vms[i], vms, settings_.overlay)) {
        wanted_peers_[i].insert(index_of.at(link.vm));
        wanted_peers_[index_of.at(link.vm)].insert(i);
      }
    }
  }

  void Start(std::size_t i) {
    auto settings = settings_.spread;
    settings.vm = nodes[i].vm;
    nodes[i].spread = std::make_unique<spreader>(
        settings, settings_.seed * 1'000'003 + i, now);
    nodes[i].gate = std::make_unique<join_gate>(join_settings{}, now);
    nodes[i].gate->SetExpectedPeers(wanted_peers_[i].size());
  }

  bool IsLinkPossible(std::size_t i, std::size_t peer) const {
    return !nodes[i].is_down && !nodes[peer].is_down &&
           (!side_ || side_(nodes[i]) == side_(nodes[peer]));
  }

  /// Opens the link after a random delay below 500 ms, if by then both nodes
  /// are running and no partition separates them.
  void ScheduleLink(std::size_t i, std::size_t peer) {
    Schedule(now + RandomDelay(std::chrono::milliseconds{500}), [this, i,
                                                                 peer] {
      if (!IsLinkPossible(i, peer) || nodes[i].linked_peers.contains(peer)) {
        return;
      }
      nodes[i].linked_peers.insert(peer);
      nodes[peer].linked_peers.insert(i);
      ++link_generations_[LinkKey(i, peer)];
      const auto ours = HelloOf(i, peer);
      const auto theirs = HelloOf(peer, i);
      HandlePeerUp(i, peer, theirs);
      HandlePeerUp(peer, i, ours);
    });
  }

  void HandlePeerUp(std::size_t i, std::size_t peer,
                    const hello_message& hello) {
    RunInProcess(i, [this, i, peer, hello] {
      nodes[i].gate->NoteHello(hello);
      CarryOut(i, nodes[i].spread->PeerUp(now, nodes[peer].vm, hello));
    });
  }

  hello_message HelloOf(std::size_t i, std::size_t peer) const {
    vm_record self;
    self.vm = nodes[i].vm;
    return nodes[i].spread->OurHello(self, nodes[peer].vm);
  }

  void CloseAllLinks(std::size_t i) {
    const auto linked_peers = nodes[i].linked_peers;
    for (const std::size_t peer : linked_peers) {
      CloseLink(i, peer);
    }
  }

  void CloseLink(std::size_t i, std::size_t peer) {
    nodes[i].linked_peers.erase(peer);
    nodes[peer].linked_peers.erase(i);
    ++link_generations_[LinkKey(i, peer)];
    RunInProcess(i, [this, i, peer] {
      CarryOut(i, nodes[i].spread->PeerDown(now, nodes[peer].vm));
    });
    RunInProcess(peer, [this, i, peer] {
      CarryOut(peer, nodes[peer].spread->PeerDown(now, nodes[i].vm));
    });
  }

  /// Runs an event in the process of node `i`. A paused process handles it on
  /// resuming; a stopped one drops it.
  void RunInProcess(std::size_t i, std::function<void()> action) {
    if (nodes[i].is_paused) {
      nodes[i].pending_events.push_back(std::move(action));
    } else if (!nodes[i].is_down) {
      action();
    }
  }

  void Tick(std::size_t i) {
    if (nodes[i].is_down || nodes[i].is_paused) {
      return;
    }
    CarryOut(i, nodes[i].spread->Tick(now));
    CheckServedVersion(i);
    const auto process_generation = process_generations_[i];
    Schedule(now + kTickPeriod, [this, i, process_generation] {
      if (process_generations_[i] == process_generation) {
        Tick(i);
      }
    });
  }

  /// If the join gate lets the node serve, notes the held version as served and
  /// reports a violation when this VM has served a greater one before.
  void CheckServedVersion(std::size_t i) {
    auto& each = nodes[i];
    const auto held = each.spread->HeldVersion();
    if (each.gate->Decide(now, held) != join_decision::kServe) {
      return;
    }
    if (held < each.greatest_served) {
      violations.push_back(each.vm + " went back from revision " +
                           std::to_string(each.greatest_served.revision) +
                           " to revision " + std::to_string(held.revision));
    }
    each.greatest_served = held;
  }

  void CarryOut(std::size_t i, const spread_effects& effects) {
    for (const auto& effect : effects) {
      if (const auto* send = std::get_if<send_effect>(&effect)) {
        Deliver(i, *send);
      } else if (const auto* in_force = std::get_if<in_force_effect>(&effect)) {
        NoteInForce(i, *in_force);
      } else if (std::holds_alternative<refused_effect>(effect)) {
        ++refusals;
      }
    }
  }

  void NoteInForce(std::size_t i, const in_force_effect& effect) {
    const auto& version = effect.version->Version();
    const auto found = published_.find(version);
    if (found == published_.end()) {
      violations.push_back(nodes[i].vm +
                           " put an unpublished version in force: revision " +
                           std::to_string(version.revision));
      return;
    }
    convergence.push_back(now - found->second);
    hops.push_back(effect.hops);
    CheckServedVersion(i);
  }

  void Deliver(std::size_t from, const send_effect& send) {
    const std::size_t to = std::stoul(send.peer_vm.substr(3));
    if (message_size) {
      nodes[from].sent_bytes += message_size(send.content);
    }
    if (random_.Fraction() < settings_.loss) {
      return;
    }
    const auto delay = settings_.min_delay +
                       RandomDelay(settings_.max_delay - settings_.min_delay);
    const auto link_generation = link_generations_[LinkKey(from, to)];
    Schedule(now + delay, [this, from, to, link_generation,
                           content = send.content] {
      if (link_generations_[LinkKey(from, to)] != link_generation ||
          !nodes[from].linked_peers.contains(to)) {
        return;
      }
      RunInProcess(to, [this, from, to, content] {
        CarryOut(to, nodes[to].spread->Handle(now, nodes[from].vm, content));
      });
    });
  }

  static std::pair<std::size_t, std::size_t> LinkKey(std::size_t i,
                                                     std::size_t peer) {
    return std::minmax(i, peer);
  }

  fleet_settings settings_;
  random_source random_;
  std::priority_queue<event> queue_;
  std::uint64_t scheduled_events_ = 0;
  std::vector<std::set<std::size_t>> wanted_peers_;
  std::vector<std::uint64_t> process_generations_;
  std::map<std::pair<std::size_t, std::size_t>, std::uint64_t>
      link_generations_;
  std::map<version_id, time_point> published_;
  std::function<bool(const node&)> side_;
};

}  // namespace wagtailmount::testing
