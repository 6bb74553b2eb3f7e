#include "LibCatalog/catalog.h"

#include <algorithm>
#include <set>

#include "LibCatalog/content_delta.h"

namespace wagtailmount {

namespace {

/// Removed keys are remembered up to this number, so that a delayed update
/// cannot restore them.
constexpr std::size_t kMaxRemovals = 4096;
/// Contents of at least this size are sent as deltas.
constexpr std::size_t kLargeContentBytes = 4096;
/// Replaced contents kept as bases for deltas: covers the versions that can
/// follow each other within one heartbeat of a link.
constexpr std::size_t kMaxReplacedContents = 4;

bool IsLarge(const catalog_item& item) {
  return item.content != nullptr && item.content->size() >= kLargeContentBytes;
}

}  // namespace

std::size_t catalog_update::ContentBytes() const {
  std::size_t bytes = 0;
  for (const catalog_item& item : items) {
    bytes += item.content == nullptr ? 0 : item.content->size();
  }
  return bytes;
}

void catalog::RememberContent(const catalog_item& replaced) {
  if (!IsLarge(replaced)) {
    return;
  }
  replaced_.push_back(replaced);
  if (replaced_.size() > kMaxReplacedContents) {
    replaced_.pop_front();
  }
}

// The receiver holds the newest revision of the key that is not above `after`.
// If this node no longer remembers that revision, the delta has an empty base,
// so it holds the whole content, compressed. The content stays as it is unless
// the delta is less than half its size.
void catalog::EncodeContent(catalog_item& item, std::uint64_t after) const {
  if (!IsLarge(item)) {
    return;
  }
  std::string_view base;
  std::uint64_t base_revision = item.revision;
  for (const catalog_item& each : replaced_) {
    if (each.key == item.key && each.revision <= after) {
      base = *each.content;
      base_revision = each.revision;
    }
  }
  const bool is_cached = last_delta_.key == item.key &&
                         last_delta_.revision == item.revision &&
                         last_delta_.base_revision == base_revision;
  if (!is_cached) {
    std::string delta = MakeDelta(base, *item.content);
    last_delta_ = item;
    last_delta_.content = std::make_shared<const std::string>(std::move(delta));
    last_delta_.base_revision = base_revision;
  }
  if (last_delta_.content->size() < item.content->size() / 2) {
    item = last_delta_;
  }
}

bool catalog::DecodeContent(catalog_item& item) const {
  if (item.base_revision == 0) {
    return true;
  }
  const auto held = items_.find(item.key);
  const bool needs_base = item.base_revision != item.revision;
  if (needs_base && (held == items_.end() || held->second.is_removed ||
                     held->second.revision != item.base_revision)) {
    // If the held item is at least as new, StoreItem() ignores this one, so its
    // delta need not match.
    return held != items_.end() && held->second.revision >= item.revision;
  }
  auto decoded = ApplyDelta(
      needs_base ? std::string_view{*held->second.content} : std::string_view{},
      *item.content);
  if (!decoded) {
    return false;
  }
  item.content = std::make_shared<const std::string>(*std::move(decoded));
  item.base_revision = 0;
  return true;
}

bool catalog::StoreItem(const catalog_item& item) {
  const auto found = items_.find(item.key);
  if (found != items_.end() && found->second.revision >= item.revision) {
    return false;
  }
  // The key may have been removed and its removal forgotten: it must not be
  // restored.
  if (found == items_.end() && item.revision <= removals_forgotten_to_) {
    return false;
  }
  if (found != items_.end()) {
    RememberContent(found->second);
  }
  items_[item.key] = item;
  return true;
}

std::vector<std::string> catalog::ApplyPartialListing(
    std::span<const catalog_item> items, std::uint64_t era) {
  std::vector<std::string> changed;
  if (era != era_) {
    if (complete_to_ > 0 || era < era_) {
      return changed;
    }
    BeginEra(era);
  }
  for (const catalog_item& item : items) {
    if (StoreItem(item)) {
      changed.push_back(item.key);
    }
  }
  return changed;
}

// Forgets what holds only within one era: the bases of deltas, which their
// revisions identify, and removals, whose revisions are given out again.
void catalog::BeginEra(std::uint64_t era) {
  era_ = era;
  replaced_.clear();
  last_delta_ = {};
  removals_forgotten_to_ = 0;
  std::erase_if(items_,
                [](const auto& entry) { return entry.second.is_removed; });
}

// Stores an item of a new era over one of the era before. Returns whether that
// changed anything: the same revision may have another content.
bool catalog::ReplaceItem(const catalog_item& item) {
  catalog_item& held = items_[item.key];
  const bool is_same =
      held.content != nullptr && held.revision == item.revision &&
      held.created == item.created && *held.content == *item.content;
  if (!is_same) {
    held = item;
  }
  return !is_same;
}

std::vector<std::string> catalog::ApplyListing(
    std::span<const catalog_item> items, std::uint64_t complete_to,
    std::uint64_t era) {
  std::vector<std::string> changed;
  if (catalog_position{era, complete_to} < Position()) {
    return changed;
  }
  const bool is_new_era = era != era_;
  if (is_new_era) {
    BeginEra(era);
  }
  std::set<std::string_view> listed;
  for (const catalog_item& item : items) {
    listed.insert(item.key);
    if (is_new_era ? ReplaceItem(item) : StoreItem(item)) {
      changed.push_back(item.key);
    }
  }
  for (auto& [key, held] : items_) {
    const bool may_be_newer = !is_new_era && held.revision > complete_to;
    if (!held.is_removed && !may_be_newer && !listed.contains(key)) {
      held.is_removed = true;
      held.revision = complete_to;
      held.content = nullptr;
      changed.push_back(key);
    }
  }
  complete_to_ = complete_to;
  ForgetOldRemovals();
  return changed;
}

std::vector<std::string> catalog::ApplyUpdate(const catalog_update& update) {
  std::vector<std::string> changed;
  const bool is_listing = update.after == 0;
  const bool can_follow = update.era == era_ && update.after <= complete_to_;
  const bool can_replace = update.era > era_ && is_listing;
  if (!can_follow && !can_replace) {
    return changed;
  }
  std::vector<catalog_item> decoded = update.items;
  for (catalog_item& item : decoded) {
    if (!DecodeContent(item)) {
      return changed;
    }
  }
  if (is_listing) {
    return ApplyListing(decoded, update.complete_to, update.era);
  }
  changed = ApplyPartialListing(decoded, update.era);
  complete_to_ = std::max(complete_to_, update.complete_to);
  ForgetOldRemovals();
  return changed;
}

catalog_update catalog::UpdateAfter(std::uint64_t after) const {
  // Forgotten removals can only be conveyed by a complete listing.
  const bool is_complete_listing = after == 0 || after < removals_forgotten_to_;
  catalog_update update;
  update.after = is_complete_listing ? 0 : after;
  update.complete_to = complete_to_;
  update.era = era_;
  for (const auto& [key, held] : items_) {
    const bool is_included =
        is_complete_listing ? !held.is_removed : held.revision > after;
    if (is_included) {
      update.items.push_back(held);
      EncodeContent(update.items.back(), update.after);
    }
  }
  return update;
}

const catalog_item* catalog::Find(std::string_view key) const {
  const auto found = items_.find(key);
  const bool is_present = found != items_.end() && !found->second.is_removed;
  return is_present ? &found->second : nullptr;
}

std::vector<const catalog_item*> catalog::ItemsUnder(
    std::string_view prefix) const {
  std::vector<const catalog_item*> found;
  for (auto entry = items_.lower_bound(prefix);
       entry != items_.end() && entry->first.starts_with(prefix); ++entry) {
    if (!entry->second.is_removed) {
      found.push_back(&entry->second);
    }
  }
  return found;
}

void catalog::ForgetOldRemovals() {
  const auto count = static_cast<std::size_t>(
      std::count_if(items_.begin(), items_.end(),
                    [](const auto& entry) { return entry.second.is_removed; }));
  if (count <= kMaxRemovals) {
    return;
  }
  std::vector<std::uint64_t> revisions;
  for (const auto& [key, held] : items_) {
    if (held.is_removed) {
      revisions.push_back(held.revision);
    }
  }
  const auto middle =
      revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
  std::nth_element(revisions.begin(), middle, revisions.end());
  removals_forgotten_to_ = std::max(removals_forgotten_to_, *middle);
  std::erase_if(items_, [this](const auto& entry) {
    return entry.second.is_removed &&
           entry.second.revision <= removals_forgotten_to_;
  });
}

}  // namespace wagtailmount
