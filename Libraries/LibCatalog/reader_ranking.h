#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace wagtailmount {

/// Ranks the VMs of one failure domain: the node on the first one is the
/// reader, which reads from the platform for the others. VMs with a fast link
/// come first; among equals a hash of the VM decides, so that all nodes with
/// the same knowledge choose the same reader. Nodes tell each other whose link
/// is fast; one that has no such information yet uses the hash alone.
///
/// A reader on a slow link would delay every update in its failure domain,
/// leaving upstreams included, while it fetches and forwards a large content.
class reader_ranking {
 public:
  /// A link counts as fast from this rate on: it transfers a content of 1 MB in
  /// 200 ms, a tenth of the shortest limit for propagating a leaving upstream.
  static constexpr double kFastLinkMegabitsPerSecond = 40.0;

  reader_ranking(std::string own_vm, double own_link_megabits_per_second)
      : own_vm_(std::move(own_vm)),
        is_own_fast_(own_link_megabits_per_second >=
                     kFastLinkMegabitsPerSecond) {}

  /// Records the VMs whose links are fast according to `peer`, a VM of the own
  /// failure domain; the peer's own link is slow unless it lists itself.
  /// Returns whether the ranking may have changed.
  bool RecordFastVms(const std::string& peer,
                     std::span<const std::string> fast_vms);

  /// The VMs with fast links to report to peers: the highest-ranked ones, at
  /// most `limit`, always including the own VM if its link is fast.
  std::vector<std::string> FastVms(std::size_t limit) const;

  bool IsOwnLinkFast() const { return is_own_fast_; }

  /// Sorts VMs of the own failure domain by rank; the first one is the reader.
  void Sort(std::vector<std::string>& vms) const;

  /// Forgets what is known of VMs that are not in `vms`.
  void KeepOnly(std::span<const std::string> vms);

 private:
  bool IsFast(const std::string& vm) const;

  std::string own_vm_;
  bool is_own_fast_;
  /// For each peer, whether its link is fast according to itself.
  std::map<std::string, bool> reported_by_itself_;
  /// VMs whose links are fast according to some other VM.
  std::set<std::string> reported_by_others_;
};

}  // namespace wagtailmount
