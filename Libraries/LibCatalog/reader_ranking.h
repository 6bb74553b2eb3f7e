#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace wagtailmount {

/// In which order the VMs of one failure domain read the platform for the
/// others: those with a fast link first, then by a hash, so that all nodes that
/// know the same make the same choice. Nodes tell each other whose link is
/// fast; one that knows nothing yet goes by the hash alone.
///
/// Answers the load pattern of a large content on slow links: while a slow
/// reader fetches it and passes it on, everybody's news of leaving upstreams
/// wait behind it.
class reader_ranking {
 public:
  /// From this rate on a link counts as fast. Source: a content of 1 MB passes
  /// in 200 ms, a tenth of the least bound on leaving upstreams.
  static constexpr double kFastLinkMegabits = 40.0;

  reader_ranking(std::string own_vm, double own_link_megabits)
      : own_vm_(std::move(own_vm)),
        is_own_fast_(own_link_megabits >= kFastLinkMegabits) {}

  /// `peer`, a VM of the own failure domain, told whose links are fast; its own
  /// is among them or is slow. True when that may change the order.
  bool HearOf(const std::string& peer, std::span<const std::string> fast_vms);

  /// Those whose link is fast, for telling peers: the first ones, at most
  /// `most`, and among them the own VM if its link is fast.
  std::vector<std::string> FastVms(std::size_t most) const;

  bool IsOwnLinkFast() const { return is_own_fast_; }

  /// Puts VMs of the own failure domain in their order; the first one reads.
  void Sort(std::vector<std::string>& vms) const;

  /// Forgets all that are not among `vms`.
  void KeepOnly(std::span<const std::string> vms);

 private:
  bool IsFast(const std::string& vm) const;

  std::string own_vm_;
  bool is_own_fast_;
  std::map<std::string, bool> by_own_word_;  ///< What each peer said of itself.
  std::set<std::string> told_by_others_;
};

}  // namespace wagtailmount
