#include "LibConfig/entry_table.h"

#include <algorithm>
#include <compare>
#include <utility>

namespace wagtailmount::detail {

namespace {

struct entry_key {
  entry_kind kind;
  std::string_view name;

  auto operator<=>(const entry_key&) const = default;
};

/// A declaration of a new or changed file, to be merged into the tables.
struct addition {
  entry_key key;
  file_declaration link;
};

entry_key KeyOf(const declaration& declared) {
  return {declared.kind, declared.name};
}

bool IsEarlierFile(const file_declaration& left,
                   const file_declaration& right) {
  return left.file->published.name < right.file->published.name;
}

std::vector<addition> CollectAdditions(const file_changes& changes) {
  std::vector<addition> additions;
  for (const auto& file : changes.added) {
    for (const auto& declared : file->declarations) {
      additions.push_back({KeyOf(declared), {file, &declared}});
    }
  }
  std::sort(additions.begin(), additions.end(),
            [](const addition& left, const addition& right) {
              return left.key != right.key
                         ? left.key < right.key
                         : IsEarlierFile(left.link, right.link);
            });
  return additions;
}

/// The keys of all entries that the changed files declare, sorted and without
/// duplicates.
std::vector<entry_key> CollectKeys(const file_changes& changes) {
  std::vector<entry_key> keys;
  for (const auto* files : {&changes.dropped, &changes.added}) {
    for (const auto& file : *files) {
      for (const auto& declared : file->declarations) {
        keys.push_back(KeyOf(declared));
      }
    }
  }
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  return keys;
}

template <typename T>
bool PointeesEqual(const std::shared_ptr<T>& left,
                   const std::shared_ptr<T>& right) {
  return left == right ||
         (left != nullptr && right != nullptr && *left == *right);
}

bool PointeesEqual(std::monostate /*left*/, std::monostate /*right*/) {
  return true;
}

/// Whether two values are equal, even if they are different objects.
bool IsSameValue(const entry_value& left, const entry_value& right) {
  return std::visit(
      [&right](const auto& held) {
        using held_type = std::decay_t<decltype(held)>;
        const auto* other = std::get_if<held_type>(&right);
        return other != nullptr && PointeesEqual(held, *other);
      },
      left);
}

/// A copy of the value with `owner` as its team. Values without a team
/// (resources) are returned unchanged.
entry_value WithOwner(const entry_value& value, const std::string& owner) {
  if (const auto* held = std::get_if<std::shared_ptr<const service>>(&value);
      held != nullptr && *held != nullptr) {
    auto owned = std::make_shared<service>(**held);
    owned->team = owner;
    return std::shared_ptr<const service>(std::move(owned));
  }
  if (const auto* held =
          std::get_if<std::shared_ptr<const unresolved_route>>(&value);
      held != nullptr && *held != nullptr) {
    auto owned = std::make_shared<unresolved_route>(**held);
    owned->settings.team = owner;
    return std::shared_ptr<const unresolved_route>(std::move(owned));
  }
  if (const auto* held = std::get_if<std::shared_ptr<const evacuation>>(&value);
      held != nullptr && *held != nullptr) {
    auto owned = std::make_shared<evacuation>(**held);
    owned->team = owner;
    return std::shared_ptr<const evacuation>(std::move(owned));
  }
  return value;
}

bool Holds(const std::vector<std::string>* teams, const std::string& team) {
  return teams != nullptr &&
         std::find(teams->begin(), teams->end(), team) != teams->end();
}

/// Checks that each declaration of an entry is permitted: only the owner team
/// and the teams in its "may_override" may declare the entry again, and only
/// the owner may set "may_override". The latest list in file name order
/// applies. The first declaration must not be a removal.
class declaration_check {
 public:
  declaration_check(const merged_entry& entry,
                    std::vector<refusal_reason>& reasons)
      : entry_(entry), reasons_(reasons) {}

  void Run() {
    const file_declaration& first = entry_.chain.front();
    if (IsRemoval(first)) {
      Refuse(first, "removes an entry that no earlier file declares");
    }
    RecordPermissions(first);
    for (std::size_t i = 1; i < entry_.chain.size(); ++i) {
      CheckLater(entry_.chain[i]);
    }
  }

 private:
  static bool IsRemoval(const file_declaration& link) {
    return std::holds_alternative<std::monostate>(link.declared->value);
  }

  void CheckLater(const file_declaration& link) {
    if (link.file->team == entry_.owner) {
      RecordPermissions(link);
      return;
    }
    if (!Holds(may_override_, link.file->team)) {
      Refuse(link, "belongs to team \"" + entry_.owner + "\" since file \"" +
                       entry_.chain.front().file->published.name +
                       "\", and team \"" + link.file->team +
                       "\" is not in its \"may_override\"");
    }
    if (link.declared->may_override.has_value()) {
      Refuse(link, "only team \"" + entry_.owner +
                       "\", the entry's owner, may state \"may_override\"");
    }
  }

  void RecordPermissions(const file_declaration& link) {
    if (link.declared->may_override.has_value()) {
      may_override_ = &*link.declared->may_override;
    }
  }

  void Refuse(const file_declaration& link, std::string reason) {
    reasons_.push_back(
        {link.file->published.name, link.declared->Path(), std::move(reason)});
  }

  const merged_entry& entry_;
  std::vector<refusal_reason>& reasons_;
  const std::vector<std::string>* may_override_ = nullptr;
};

/// The declarations in `before` whose files are not dropped, and those in
/// `additions`, in file name order.
std::vector<file_declaration> ChainOf(
    const merged_entry* before, std::span<const addition> additions,
    const std::vector<parsed_file_pointer>& dropped) {
  std::vector<file_declaration> chain;
  if (before != nullptr) {
    std::copy_if(before->chain.begin(), before->chain.end(),
                 std::back_inserter(chain), [&dropped](const auto& link) {
                   return !std::binary_search(dropped.begin(), dropped.end(),
                                              link.file);
                 });
  }
  for (const auto& each : additions) {
    chain.push_back(each.link);
  }
  std::sort(chain.begin(), chain.end(), IsEarlierFile);
  return chain;
}

merged_entry_pointer Resolve(const entry_key& key,
                             std::vector<file_declaration> chain,
                             const merged_entry* before) {
  auto entry = std::make_shared<merged_entry>();
  entry->kind = key.kind;
  entry->name = key.name;
  entry->chain = std::move(chain);
  entry->owner = entry->chain.front().file->team;
  const file_declaration& last = entry->Last();
  entry->value = last.file->team == entry->owner
                     ? last.declared->value
                     : WithOwner(last.declared->value, entry->owner);
  if (before != nullptr && IsSameValue(before->value, entry->value)) {
    entry->value = before->value;
  }
  return entry;
}

/// Copies the previous tables in one pass, merging the changed entries into
/// them.
class table_merge {
 public:
  table_merge(const entry_tables& before, const file_changes& changes)
      : before_(before),
        dropped_(changes.dropped),
        additions_(CollectAdditions(changes)) {
    std::sort(dropped_.begin(), dropped_.end());
  }

  merge_outcome Run(const std::vector<entry_key>& keys) {
    for (std::size_t kind = 0; kind < kEntryKinds; ++kind) {
      outcome_.tables.by_kind[kind].reserve(before_.by_kind[kind].size() + 1);
    }
    for (const auto& key : keys) {
      CopyUpTo(key);
      Replace(key);
    }
    for (std::size_t kind = 0; kind < kEntryKinds; ++kind) {
      CopyRest(static_cast<entry_kind>(kind), before_.by_kind[kind].size());
    }
    return std::move(outcome_);
  }

 private:
  std::vector<merged_entry_pointer>& Target(entry_kind kind) {
    return outcome_.tables.by_kind[static_cast<std::size_t>(kind)];
  }

  std::size_t& Position(entry_kind kind) {
    return positions_[static_cast<std::size_t>(kind)];
  }

  void CopyRest(entry_kind kind, std::size_t end) {
    const auto& source = before_.Of(kind);
    auto& position = Position(kind);
    auto& target = Target(kind);
    target.insert(target.end(),
                  source.begin() + static_cast<std::ptrdiff_t>(position),
                  source.begin() + static_cast<std::ptrdiff_t>(end));
    position = end;
  }

  void CopyUpTo(const entry_key& key) {
    const auto& source = before_.Of(key.kind);
    const auto found = std::lower_bound(
        source.begin() + static_cast<std::ptrdiff_t>(Position(key.kind)),
        source.end(), key.name, [](const auto& each, std::string_view name) {
          return each->name < name;
        });
    CopyRest(key.kind, static_cast<std::size_t>(found - source.begin()));
  }

  const merged_entry* TakeBefore(const entry_key& key) {
    const auto& source = before_.Of(key.kind);
    auto& position = Position(key.kind);
    if (position == source.size() || source[position]->name != key.name) {
      return nullptr;
    }
    return source[position++].get();
  }

  std::span<const addition> TakeAdditions(const entry_key& key) {
    const std::size_t begin = next_addition_;
    while (next_addition_ < additions_.size() &&
           additions_[next_addition_].key == key) {
      ++next_addition_;
    }
    return std::span(additions_).subspan(begin, next_addition_ - begin);
  }

  void Replace(const entry_key& key) {
    const merged_entry* before = TakeBefore(key);
    auto chain = ChainOf(before, TakeAdditions(key), dropped_);
    merged_entry_pointer after;
    if (!chain.empty()) {
      after = Resolve(key, std::move(chain), before);
      declaration_check(*after, outcome_.reasons).Run();
      Target(key.kind).push_back(after);
    }
    const bool is_kept =
        before != nullptr && after != nullptr && before->value == after->value;
    if (before != nullptr && !is_kept) {
      outcome_.retired.push_back(before->value);
    }
  }

  const entry_tables& before_;
  std::vector<parsed_file_pointer> dropped_;
  std::vector<addition> additions_;
  std::size_t next_addition_ = 0;
  std::array<std::size_t, kEntryKinds> positions_{};
  merge_outcome outcome_;
};

}  // namespace

const merged_entry* entry_tables::Find(entry_kind kind,
                                       std::string_view name) const {
  const auto& table = Of(kind);
  const auto found =
      std::lower_bound(table.begin(), table.end(), name,
                       [](const auto& each, std::string_view wanted) {
                         return each->name < wanted;
                       });
  const bool is_in_force =
      found != table.end() && (*found)->name == name && !(*found)->IsRemoved();
  return is_in_force ? found->get() : nullptr;
}

merge_outcome MergeEntries(const entry_tables& before,
                           const file_changes& changes) {
  return table_merge(before, changes).Run(CollectKeys(changes));
}

}  // namespace wagtailmount::detail
