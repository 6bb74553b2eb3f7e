#include "LibLoad/waiting_line.h"

#include <algorithm>
#include <tuple>

namespace wagtailmount {

namespace {

// A request is given up for one of its rank only if it needs half as much work
// again: with less, requests would change places for no gain.
constexpr int kMuchMoreWorkDivisor = 2;

// Whether the refusal of `other` costs callers less for its room than that of
// `request`.
bool CostsLess(const waiting_line::entries::value_type& other,
               const waiting_line::entries::value_type& request) {
  const auto cost = [](const waiting_line::entries::value_type& each) {
    return std::tuple{each.first.is_ordinary, each.first.rank,
                      each.first.is_late, each.second.work, each.second.id};
  };
  return cost(other) > cost(request);
}

}  // namespace

waiting_line::entries::value_type waiting_line::TakeFirst() {
  const entries::value_type first = *entries_.begin();
  entries_.erase(entries_.begin());
  return first;
}

std::vector<waiting_line::entries::value_type> waiting_line::TakeIf(
    const std::function<bool(const entries::value_type&)>& is_wanted) {
  std::vector<entries::value_type> taken;
  std::erase_if(entries_, [&](const entries::value_type& each) {
    const bool is_taken = is_wanted(each);
    if (is_taken) {
      taken.push_back(each);
    }
    return is_taken;
  });
  return taken;
}

duration waiting_line::WorkAhead(const line_place& place) const {
  duration work{};
  for (const auto& [other, each] : entries_) {
    if (place < other) {
      break;
    }
    work += each.work;
  }
  return work;
}

std::size_t waiting_line::CountAhead(const line_place& place) const {
  return static_cast<std::size_t>(
      std::distance(entries_.begin(), entries_.upper_bound(place)));
}

std::optional<waiting_line::entries::value_type> waiting_line::TakeCheaperThan(
    const line_place& place, const waiting_request& request) {
  const auto cheapest =
      std::min_element(entries_.begin(), entries_.end(),
                       [](const auto& left, const auto& right) {
                         return CostsLess(left, right);
                       });
  if (cheapest == entries_.end() || !CostsLess(*cheapest, {place, request})) {
    return std::nullopt;
  }
  const entries::value_type taken = *cheapest;
  entries_.erase(cheapest);
  return taken;
}

std::optional<line_place> waiting_line::LongerWorkAhead(
    const line_place& place, const waiting_request& request) const {
  std::optional<line_place> longest;
  duration work = request.work + request.work / kMuchMoreWorkDivisor;
  for (const auto& [other, each] : entries_) {
    if (place < other) {
      break;
    }
    if (other.is_ordinary && other.rank == place.rank && each.work > work) {
      longest = other;
      work = each.work;
    }
  }
  return longest;
}

std::optional<line_place> waiting_line::CheapestInTheWay(
    time_point now, std::size_t slots) const {
  const auto divisor =
      static_cast<std::int64_t>(std::max<std::size_t>(1, slots));
  duration work{};
  for (auto each = entries_.begin(); each != entries_.end(); ++each) {
    const duration wait = work / divisor;
    work += each->second.work;
    if (each->first.is_late || now + wait < each->second.start_by) {
      continue;
    }
    auto cheapest = each;
    for (auto other = entries_.begin(); other != each; ++other) {
      if (other->first.is_ordinary && other->first.rank == each->first.rank &&
          CostsLess(*other, *cheapest)) {
        cheapest = other;
      }
    }
    return cheapest->first;
  }
  return std::nullopt;
}

}  // namespace wagtailmount
