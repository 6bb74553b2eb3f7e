#include "LibCatalog/reader_ranking.h"

#include <algorithm>
#include <tuple>

#include "LibBase/digest.h"

namespace wagtailmount {

bool reader_ranking::RecordFastVms(const std::string& peer,
                                   std::span<const std::string> fast_vms) {
  const bool is_fast =
      std::find(fast_vms.begin(), fast_vms.end(), peer) != fast_vms.end();
  const auto [known, is_new] = reported_by_itself_.try_emplace(peer, is_fast);
  bool has_changed = is_new || known->second != is_fast;
  known->second = is_fast;
  for (const std::string& vm : fast_vms) {
    if (vm != peer && vm != own_vm_) {
      has_changed |= reported_by_others_.insert(vm).second;
    }
  }
  return has_changed;
}

// A node's own link counts only after it has heard from a peer. Otherwise, when
// a whole failure domain with fast links starts, each node would see itself as
// the only fast VM and become a reader.
bool reader_ranking::IsFast(const std::string& vm) const {
  if (vm == own_vm_) {
    return is_own_fast_ && !reported_by_itself_.empty();
  }
  const auto said = reported_by_itself_.find(vm);
  return said != reported_by_itself_.end() ? said->second
                                           : reported_by_others_.contains(vm);
}

std::vector<std::string> reader_ranking::FastVms(std::size_t limit) const {
  std::set<std::string> fast;
  for (const auto& [vm, is_fast] : reported_by_itself_) {
    if (is_fast) {
      fast.insert(vm);
    }
  }
  for (const std::string& vm : reported_by_others_) {
    if (IsFast(vm)) {
      fast.insert(vm);
    }
  }
  std::vector<std::string> reported(fast.begin(), fast.end());
  Sort(reported);
  reported.resize(std::min(reported.size(), limit - 1));
  if (is_own_fast_) {
    reported.push_back(own_vm_);
  }
  return reported;
}

void reader_ranking::Sort(std::vector<std::string>& vms) const {
  const auto rank = [this](const std::string& vm) {
    return std::tuple{!IsFast(vm), HashOf(vm)};
  };
  std::sort(vms.begin(), vms.end(),
            [&rank](const std::string& left, const std::string& right) {
              return rank(left) < rank(right);
            });
}

void reader_ranking::KeepOnly(std::span<const std::string> vms) {
  const auto is_gone = [vms](const std::string& vm) {
    return std::find(vms.begin(), vms.end(), vm) == vms.end();
  };
  std::erase_if(reported_by_itself_,
                [&](const auto& entry) { return is_gone(entry.first); });
  std::erase_if(reported_by_others_, is_gone);
}

}  // namespace wagtailmount
