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
  double loss = 0;  ///< The share of messages that never arrive.
  duration least_delay = std::chrono::milliseconds{1};
  duration greatest_delay = std::chrono::milliseconds{40};
  spread_settings spread = {};
  overlay_settings overlay = {};
};

/// Many spreaders in one process, with messages that are lost, late and out of
/// order, all drawn from one seed.
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
    version_id greatest_served;  ///< Over all processes of this VM.
    std::set<std::size_t> linked;
    std::vector<std::function<void()>> inbox;  ///< What came while paused.
    std::uint64_t sent_bytes = 0;
  };

  explicit spread_fleet(const fleet_settings& chosen)
      : settings_(chosen), random_(chosen.seed) {
    for (std::size_t i = 0; i < chosen.vms; ++i) {
      const std::size_t domain = i % chosen.domains;
      node added;
      added.vm = "vm-" + std::to_string(i);
      added.domain = "d" + std::to_string(domain);
      added.region = "r" + std::to_string(domain % chosen.regions);
      nodes.push_back(std::move(added));
    }
    ChooseLinks();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      Start(i);
      At(now + Jitter(kTickPeriod), [this, i] { Tick(i); });
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      for (const std::size_t peer : wanted_[i]) {
        Connect(i, peer);
      }
    }
  }

  /// Marks what may come in force; anything else is a fault.
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
    Take(reader, nodes[reader].spread->AcceptFromSource(now, revision, files));
  }

  void Run(duration time) {
    const time_point end = now + time;
    while (!queue_.empty() && queue_.top().at <= end) {
      auto next = queue_.top();
      queue_.pop();
      now = next.at;
      next.happen();
    }
    now = end;
  }

  /// Stops the process; its VM comes back without memory by Restart().
  void Kill(std::size_t i) {
    Disconnect(i);
    nodes[i].is_down = true;
    nodes[i].spread.reset();
    nodes[i].inbox.clear();
    ++lives_[i];
  }

  void Restart(std::size_t i) {
    nodes[i].is_down = false;
    nodes[i].is_paused = false;
    Start(i);
    At(now + Jitter(kTickPeriod), [this, i] { Tick(i); });
    for (const std::size_t peer : wanted_[i]) {
      Connect(i, peer);
    }
  }

  void Pause(std::size_t i) { nodes[i].is_paused = true; }

  void Resume(std::size_t i) {
    nodes[i].is_paused = false;
    auto waiting = std::move(nodes[i].inbox);
    nodes[i].inbox.clear();
    for (const auto& happen : waiting) {
      happen();
    }
    Tick(i);
  }

  /// Cuts every link between nodes for which `side` differs.
  void Cut(const std::function<bool(const node&)>& side) {
    side_ = side;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      const auto linked = nodes[i].linked;
      for (const std::size_t peer : linked) {
        if (!IsPassable(i, peer)) {
          Unlink(i, peer);
        }
      }
    }
  }

  void Heal() {
    side_ = nullptr;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      for (const std::size_t peer : wanted_[i]) {
        Connect(i, peer);
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
  std::vector<std::string> faults;    ///< Broken promises, in words.
  std::vector<duration> convergence;  ///< From publishing to in force.
  std::vector<std::uint32_t> hops;
  std::size_t refusals = 0;  ///< Nodes that were told of a refusal.
  /// The size of a message on the wire, when bytes are to be counted.
  std::function<std::size_t(const message&)> size_of;

 private:
  static constexpr std::chrono::milliseconds kTickPeriod{200};

  struct event {
    time_point at;
    std::uint64_t number = 0;
    std::function<void()> happen;

    bool operator<(const event& other) const {
      return std::pair(other.at, other.number) < std::pair(at, number);
    }
  };

  void At(time_point at, std::function<void()> happen) {
    queue_.push({at, ++events_, std::move(happen)});
  }

  duration Jitter(duration most) {
    return duration{random_.Below(static_cast<std::uint64_t>(most.count()))};
  }

  void ChooseLinks() {
    std::vector<overlay_vm> vms;
    std::map<std::string, std::size_t, std::less<>> numbers;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      vms.push_back({nodes[i].vm, nodes[i].region, nodes[i].domain});
      numbers[nodes[i].vm] = i;
    }
    wanted_.resize(nodes.size());
    lives_.resize(nodes.size());
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      for (const auto& link : LinksOf(vms[i], vms, settings_.overlay)) {
        wanted_[i].insert(numbers.at(link.vm));
        wanted_[numbers.at(link.vm)].insert(i);
      }
    }
  }

  void Start(std::size_t i) {
    auto chosen = settings_.spread;
    chosen.vm = nodes[i].vm;
    nodes[i].spread =
        std::make_unique<spreader>(chosen, settings_.seed * 1'000'003 + i, now);
    nodes[i].gate = std::make_unique<join_gate>(join_settings{}, now);
    nodes[i].gate->SetExpectedPeers(wanted_[i].size());
  }

  bool IsPassable(std::size_t i, std::size_t peer) const {
    return !nodes[i].is_down && !nodes[peer].is_down &&
           (!side_ || side_(nodes[i]) == side_(nodes[peer]));
  }

  /// Opens the link some time later, as long as it is possible then.
  void Connect(std::size_t i, std::size_t peer) {
    At(now + Jitter(std::chrono::milliseconds{500}), [this, i, peer] {
      if (!IsPassable(i, peer) || nodes[i].linked.contains(peer)) {
        return;
      }
      nodes[i].linked.insert(peer);
      nodes[peer].linked.insert(i);
      ++generation_[Pair(i, peer)];
      const auto ours = HelloOf(i, peer);
      const auto theirs = HelloOf(peer, i);
      MeetPeer(i, peer, theirs);
      MeetPeer(peer, i, ours);
    });
  }

  void MeetPeer(std::size_t i, std::size_t peer, const hello_message& hello) {
    OnThreadOf(i, [this, i, peer, hello] {
      nodes[i].gate->NoteHello(hello);
      Take(i, nodes[i].spread->PeerUp(now, nodes[peer].vm, hello));
    });
  }

  hello_message HelloOf(std::size_t i, std::size_t peer) const {
    vm_record self;
    self.vm = nodes[i].vm;
    return nodes[i].spread->OurHello(self, nodes[peer].vm);
  }

  void Disconnect(std::size_t i) {
    const auto linked = nodes[i].linked;
    for (const std::size_t peer : linked) {
      Unlink(i, peer);
    }
  }

  void Unlink(std::size_t i, std::size_t peer) {
    nodes[i].linked.erase(peer);
    nodes[peer].linked.erase(i);
    ++generation_[Pair(i, peer)];
    OnThreadOf(i, [this, i, peer] {
      Take(i, nodes[i].spread->PeerDown(now, nodes[peer].vm));
    });
    OnThreadOf(peer, [this, i, peer] {
      Take(peer, nodes[peer].spread->PeerDown(now, nodes[i].vm));
    });
  }

  /// A paused process finds what happened once it wakes.
  void OnThreadOf(std::size_t i, std::function<void()> happen) {
    if (nodes[i].is_paused) {
      nodes[i].inbox.push_back(std::move(happen));
    } else if (!nodes[i].is_down) {
      happen();
    }
  }

  void Tick(std::size_t i) {
    if (nodes[i].is_down || nodes[i].is_paused) {
      return;
    }
    Take(i, nodes[i].spread->Tick(now));
    Serve(i);
    const auto life = lives_[i];
    At(now + kTickPeriod, [this, i, life] {
      if (lives_[i] == life) {
        Tick(i);
      }
    });
  }

  /// What the node does with its version once its gate is open.
  void Serve(std::size_t i) {
    auto& each = nodes[i];
    const auto held = each.spread->HeldVersion();
    if (each.gate->Decide(now, held) != join_decision::kServe) {
      return;
    }
    if (held < each.greatest_served) {
      faults.push_back(each.vm + " went back from " +
                       std::to_string(each.greatest_served.revision) + " to " +
                       std::to_string(held.revision));
    }
    each.greatest_served = held;
  }

  void Take(std::size_t i, const spread_effects& effects) {
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
      faults.push_back(nodes[i].vm + " holds what nobody published: " +
                       std::to_string(version.revision));
      return;
    }
    convergence.push_back(now - found->second);
    hops.push_back(effect.hops);
    Serve(i);
  }

  void Deliver(std::size_t from, const send_effect& send) {
    const std::size_t to = std::stoul(send.peer_vm.substr(3));
    if (size_of) {
      nodes[from].sent_bytes += size_of(send.content);
    }
    if (random_.Fraction() < settings_.loss) {
      return;
    }
    const auto delay = settings_.least_delay +
                       Jitter(settings_.greatest_delay - settings_.least_delay);
    const auto generation = generation_[Pair(from, to)];
    At(now + delay, [this, from, to, generation, content = send.content] {
      if (generation_[Pair(from, to)] != generation ||
          !nodes[from].linked.contains(to)) {
        return;
      }
      OnThreadOf(to, [this, from, to, content] {
        Take(to, nodes[to].spread->Handle(now, nodes[from].vm, content));
      });
    });
  }

  static std::pair<std::size_t, std::size_t> Pair(std::size_t i,
                                                  std::size_t peer) {
    return std::minmax(i, peer);
  }

  fleet_settings settings_;
  random_source random_;
  std::priority_queue<event> queue_;
  std::uint64_t events_ = 0;
  std::vector<std::set<std::size_t>> wanted_;
  std::vector<std::uint64_t> lives_;
  std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> generation_;
  std::map<version_id, time_point> published_;
  std::function<bool(const node&)> side_;
};

}  // namespace wagtailmount::testing
