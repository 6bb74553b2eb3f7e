#include "LibConfig/route_table.h"

#include <algorithm>
#include <utility>

#include "LibConfig/route_order.h"

namespace wagtailmount::detail {

namespace {

using route_pointer = std::shared_ptr<const route>;

/// The retry policy of routes that name none.
const std::shared_ptr<const retry_policy>& BuiltInRetryPolicy() {
  static const std::shared_ptr<const retry_policy> policy =
      std::make_shared<retry_policy>(retry_policy{"built-in", 3, 0.1});
  return policy;
}

const void* AddressOf(const entry_value& value) {
  return std::visit(
      [](const auto& held) -> const void* {
        if constexpr (std::is_same_v<std::decay_t<decltype(held)>,
                                     std::monostate>) {
          return nullptr;
        } else {
          return held.get();
        }
      },
      value);
}

class route_builder {
 public:
  route_builder(const entry_tables& tables,
                std::vector<refusal_reason>& reasons)
      : tables_(tables), reasons_(reasons) {}

  /// Builds the route of an entry. Null if the entry is not a valid route or
  /// one of its references can't be resolved.
  route_pointer Build(const merged_entry& entry) {
    const auto* held =
        std::get_if<std::shared_ptr<const unresolved_route>>(&entry.value);
    if (held == nullptr || *held == nullptr) {
      return nullptr;
    }
    const unresolved_route& draft = **held;
    auto made = std::make_shared<route>(draft.settings);
    const bool has_target = ResolveReference(
        entry, "service", entry_kind::kService, draft.service, made->target);
    made->retry = BuiltInRetryPolicy();
    const bool has_retry =
        draft.retry.empty() ||
        ResolveReference(entry, "retry", entry_kind::kResource, draft.retry,
                         made->retry);
    const bool has_headers =
        draft.headers.empty() ||
        ResolveReference(entry, "headers", entry_kind::kResource, draft.headers,
                         made->headers);
    return has_target && has_retry && has_headers ? std::move(made) : nullptr;
  }

 private:
  static std::string_view NameOfType(const service* /*type*/) {
    return "service";
  }
  static std::string_view NameOfType(const retry_policy* /*type*/) {
    return "resource of kind \"retry_policy\"";
  }
  static std::string_view NameOfType(const header_set* /*type*/) {
    return "resource of kind \"header_set\"";
  }

  /// Sets `reference` to the entry with this name and returns true. Returns
  /// false if there is none of the expected type, and adds the reason. Adds no
  /// reason if the entry could not be parsed, since that error has been
  /// reported already.
  template <typename T>
  bool ResolveReference(const merged_entry& from, std::string_view key,
                        entry_kind kind, const std::string& name,
                        std::shared_ptr<const T>& reference) {
    const merged_entry* found = tables_.Find(kind, name);
    if (found != nullptr && AddressOf(found->value) == nullptr) {
      return false;
    }
    const auto* held =
        found == nullptr ? nullptr
                         : std::get_if<std::shared_ptr<const T>>(&found->value);
    if (held == nullptr) {
      const T* type = nullptr;
      reasons_.push_back({from.Last().file->published.name,
                          from.Last().declared->Path() + "." + std::string(key),
                          "there is no " + std::string(NameOfType(type)) +
                              " named \"" + name + "\""});
      return false;
    }
    reference = *held;
    return true;
  }

  const entry_tables& tables_;
  std::vector<refusal_reason>& reasons_;
};

/// The set of values that are no longer in force. Routes that refer to one of
/// them must be built again.
class retired_values {
 public:
  explicit retired_values(const std::vector<entry_value>& values) {
    for (const auto& value : values) {
      addresses_.push_back(AddressOf(value));
    }
    std::sort(addresses_.begin(), addresses_.end());
  }

  bool AreUsedBy(const route& each) const {
    return !addresses_.empty() &&
           (Holds(each.target.get()) || Holds(each.retry.get()) ||
            (each.headers != nullptr && Holds(each.headers.get())));
  }

 private:
  bool Holds(const void* address) const {
    return std::binary_search(addresses_.begin(), addresses_.end(), address);
  }

  std::vector<const void*> addresses_;
};

/// Whether two routes with the same host and prefix conflict: they match a
/// common method, and neither is more specific. Named methods are more specific
/// than any method.
bool MethodsOverlap(const route& left, const route& right) {
  if (left.methods.empty() || right.methods.empty()) {
    return left.methods.empty() && right.methods.empty();
  }
  return std::any_of(left.methods.begin(), left.methods.end(),
                     [&right](const auto& method) {
                       return std::binary_search(right.methods.begin(),
                                                 right.methods.end(), method);
                     });
}

bool HasSameHostAndPrefix(const route& left, const route& right) {
  return left.host == right.host && left.path_prefix == right.path_prefix;
}

/// A route and its entry, whose last declaration names the file.
struct declared_route {
  const route* made = nullptr;
  const merged_entry* entry = nullptr;

  std::string_view FileName() const {
    return entry->Last().file->published.name;
  }
};

declared_route FindDeclaredRoute(const route& made, const route_table& table) {
  const auto found =
      std::lower_bound(table.begin(), table.end(), made.name,
                       [](const built_route& each, const std::string& name) {
                         return each.entry->name < name;
                       });
  return {&made, found->entry.get()};
}

refusal_reason DescribeConflict(const declared_route& later,
                                const declared_route& earlier) {
  return {std::string(later.FileName()),
          later.entry->Last().declared->Path() + ".match",
          "matches the same requests as route \"" + earlier.made->name +
              "\" of file \"" + std::string(earlier.FileName()) + "\""};
}

/// Adds a reason for each route in a group with the same host and prefix that
/// conflicts with an earlier one. The routes in `kept` don't conflict with each
/// other, so there are at most as many as there are methods.
void FindConflictsInGroup(std::vector<declared_route> group,
                          std::vector<refusal_reason>& reasons) {
  std::sort(group.begin(), group.end(),
            [](const declared_route& left, const declared_route& right) {
              return left.FileName() != right.FileName()
                         ? left.FileName() < right.FileName()
                         : left.made->name < right.made->name;
            });
  std::vector<declared_route> kept;
  for (const auto& each : group) {
    const auto earlier = std::find_if(
        kept.begin(), kept.end(), [&each](const declared_route& other) {
          return MethodsOverlap(*other.made, *each.made);
        });
    if (earlier == kept.end()) {
      kept.push_back(each);
    } else {
      reasons.push_back(DescribeConflict(each, *earlier));
    }
  }
}

}  // namespace

route_outcome BuildRoutes(const route_table& before,
                          const merge_outcome& merged) {
  route_outcome outcome;
  const auto& entries = merged.tables.Of(entry_kind::kRoute);
  outcome.table.reserve(entries.size());
  route_builder builder(merged.tables, outcome.reasons);
  const retired_values retired(merged.retired);
  auto old = before.begin();
  for (const auto& entry : entries) {
    while (old != before.end() && old->entry != entry &&
           old->entry->name < entry->name) {
      outcome.dropped.push_back(old->made);
      ++old;
    }
    const built_route* known = nullptr;
    if (old != before.end() &&
        (old->entry == entry || old->entry->name == entry->name)) {
      known = &*old;
      ++old;
    }
    const bool has_same_value =
        known != nullptr &&
        (known->entry == entry || known->entry->value == entry->value);
    const bool is_unchanged =
        has_same_value && !retired.AreUsedBy(*known->made);
    if (is_unchanged) {
      outcome.table.push_back({entry, known->made});
      continue;
    }
    auto made = entry->IsRemoved() ? nullptr : builder.Build(*entry);
    if (known != nullptr) {
      outcome.dropped.push_back(known->made);
    }
    if (made != nullptr) {
      outcome.added.push_back(made);
      outcome.table.push_back({entry, std::move(made)});
    }
  }
  for (; old != before.end(); ++old) {
    outcome.dropped.push_back(old->made);
  }
  return outcome;
}

std::vector<route_pointer> OrderRoutes(std::span<const route_pointer> before,
                                       const route_outcome& change) {
  const auto order = [](const route_pointer& left, const route_pointer& right) {
    return IsBefore(*left, *right);
  };
  auto added = change.added;
  std::sort(added.begin(), added.end(), order);
  auto dropped = change.dropped;
  std::sort(dropped.begin(), dropped.end());
  std::vector<route_pointer> ordered;
  ordered.reserve(before.size() + added.size());
  auto next = added.begin();
  auto kept = before.begin();
  const auto copy_kept_until = [&](auto end) {
    for (; kept != end; ++kept) {
      if (!std::binary_search(dropped.begin(), dropped.end(), *kept)) {
        ordered.push_back(*kept);
      }
    }
  };
  for (; next != added.end(); ++next) {
    copy_kept_until(std::lower_bound(kept, before.end(), *next, order));
    ordered.push_back(std::move(*next));
  }
  copy_kept_until(before.end());
  return ordered;
}

std::vector<refusal_reason> FindConflicts(
    std::span<const route_pointer> ordered, const route_outcome& change) {
  std::vector<refusal_reason> reasons;
  const route* last_checked = nullptr;
  auto added = change.added;
  std::sort(added.begin(), added.end(),
            [](const route_pointer& left, const route_pointer& right) {
              return IsBefore(*left, *right);
            });
  for (const auto& each : added) {
    if (last_checked != nullptr && HasSameHostAndPrefix(*last_checked, *each)) {
      continue;
    }
    last_checked = each.get();
    const auto [begin, end] = std::equal_range(
        ordered.begin(), ordered.end(), each,
        [](const route_pointer& left, const route_pointer& right) {
          return !HasSameHostAndPrefix(*left, *right) &&
                 IsBefore(*left, *right);
        });
    std::vector<declared_route> group;
    for (auto member = begin; member != end; ++member) {
      group.push_back(FindDeclaredRoute(**member, change.table));
    }
    FindConflictsInGroup(std::move(group), reasons);
  }
  return reasons;
}

}  // namespace wagtailmount::detail
