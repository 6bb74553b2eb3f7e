#include "LibReport/counter_increase.h"

#include <algorithm>
#include <map>

namespace wagtailmount {

namespace {

const service_counters* FindService(const node_counters& node,
                                    const std::string& service) {
  const auto found = std::find_if(node.services.begin(), node.services.end(),
                                  [&service](const service_counters& each) {
                                    return each.service == service;
                                  });
  return found == node.services.end() ? nullptr : &*found;
}

bool HasFallen(const node_counters& before, const node_counters& after) {
  return after.changes < before.changes ||
         after.late_changes < before.late_changes ||
         after.control_bytes < before.control_bytes ||
         std::any_of(before.services.begin(), before.services.end(),
                     [&after](const service_counters& old) {
                       const auto* now = FindService(after, old.service);
                       return now != nullptr && (now->requests < old.requests ||
                                                 now->failed < old.failed ||
                                                 now->slow < old.slow);
                     });
}

/// Whether the node was started anew. Its own word is its time of start; a
/// count that fell says so too, should that time be wrong.
bool HasRestarted(const node_counters& before, const node_counters& after) {
  return before.started_unix_ms != after.started_unix_ms ||
         HasFallen(before, after);
}

/// Adds up the nodes of one round.
class increase_sum {
 public:
  increase_sum(std::int64_t begin_unix_ms, std::int64_t end_unix_ms) {
    sum_.begin_unix_ms = begin_unix_ms;
    sum_.end_unix_ms = end_unix_ms;
  }

  /// `before` is null when the node counted from zero.
  void Add(const node_counters* before, const node_counters& after) {
    static const node_counters zero;
    const node_counters& base = before == nullptr ? zero : *before;
    sum_.changes += after.changes - base.changes;
    sum_.late_changes += after.late_changes - base.late_changes;
    sum_.control_bytes += after.control_bytes - base.control_bytes;
    for (const auto& now : after.services) {
      const auto* old = FindService(base, now.service);
      auto& total = services_[now.service];
      total.requests += now.requests - (old == nullptr ? 0 : old->requests);
      total.failed += now.failed - (old == nullptr ? 0 : old->failed);
      total.slow += now.slow - (old == nullptr ? 0 : old->slow);
    }
    ++sum_.nodes;
  }

  void NoteRestart() { ++sum_.restarts; }

  round_increase Take() && {
    for (auto& [name, counters] : services_) {
      counters.service = name;
      sum_.services.push_back(std::move(counters));
    }
    return std::move(sum_);
  }

 private:
  round_increase sum_;
  std::map<std::string, service_counters> services_;
};

/// Whether the node was started after `begin`, told by its uptime, so that a
/// clock set otherwise than the asking side's does not matter.
bool StartedAfter(const node_counters& node, std::int64_t taken_unix_ms,
                  std::int64_t begin_unix_ms) {
  const std::int64_t uptime_ms = node.unix_ms - node.started_unix_ms;
  return taken_unix_ms - uptime_ms > begin_unix_ms;
}

}  // namespace

std::vector<round_increase> IncreasesOf(std::span<const sample_round> rounds) {
  std::vector<round_increase> increases;
  std::map<std::string, const node_counters*> last_answers;
  for (std::size_t i = 0; i < rounds.size(); ++i) {
    const sample_round& round = rounds[i];
    const std::int64_t begin =
        i == 0 ? round.taken_unix_ms : rounds[i - 1].taken_unix_ms;
    increase_sum sum(begin, round.taken_unix_ms);
    for (const auto& node : round.nodes) {
      const node_counters* before = last_answers[node.vm];
      if (before != nullptr && HasRestarted(*before, node)) {
        sum.NoteRestart();
        sum.Add(nullptr, node);
      } else if (before != nullptr) {
        sum.Add(before, node);
      } else if (i > 0 && StartedAfter(node, round.taken_unix_ms, begin)) {
        sum.Add(nullptr, node);
      }
      last_answers[node.vm] = &node;
    }
    if (i > 0) {
      increases.push_back(std::move(sum).Take());
    }
  }
  return increases;
}

}  // namespace wagtailmount
