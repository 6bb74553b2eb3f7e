#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "LibBase/random.h"
#include "LibLoad/admission_controller.h"

/// Mixed kinds of requests at one owner with too little room, in stepped time:
/// what is turned away, against an owner that isn't told the kinds.
namespace wagtailmount::testing {

using std::chrono::milliseconds;

inline constexpr std::uint32_t kSlots = 9;
inline constexpr milliseconds kLength{30'000};
inline constexpr auto kUrgent = static_cast<request_priority>(0);
inline constexpr auto kUsual = static_cast<request_priority>(1);
inline constexpr auto kPatient = static_cast<request_priority>(2);

struct kind_of_load {
  request_kind kind = kUnknownKind;
  request_priority rank = kUsual;
  milliseconds work{};
  milliseconds objective{};
  milliseconds deadline{};
  double share = 0.0;  ///< Of the offered slot time.
};

// The kinds that meet at a busy service: calls, the requests that cause such
// calls, a lookup of the same rank, and a patient kind.
inline std::vector<kind_of_load> MixedKinds() {
  return {
      {1, kUsual, milliseconds{21}, milliseconds{80}, milliseconds{250}, 0.3},
      {2, kUsual, milliseconds{110}, milliseconds{400}, milliseconds{2'500},
       0.4},
      {3, kUsual, milliseconds{33}, milliseconds{400}, milliseconds{1'500},
       0.1},
      {4, kPatient, milliseconds{99}, milliseconds{1'200}, milliseconds{4'000},
       0.2}};
}

struct kind_result {
  int asked = 0;
  int on_time = 0;
  int served = 0;
  int refused = 0;
  duration waited_before_refusal{};

  double OnTimeShare() const { return 1.0 * on_time / std::max(1, asked); }
  double ServedShare() const { return 1.0 * served / std::max(1, asked); }
};

using results = std::map<request_kind, kind_result>;

int OnTime(const results& all) {
  int count = 0;
  for (const auto& [kind, each] : all) {
    count += each.on_time;
  }
  return count;
}

inline double ServedShare(const results& all) {
  int asked = 0;
  int served = 0;
  for (const auto& [kind, each] : all) {
    asked += each.asked;
    served += each.served;
  }
  return 1.0 * served / std::max(1, asked);
}

// Offers `load` times the capacity for half a minute. Without `is_kind_told`,
// the owner learns one duration for each rank.
inline results Offer(const std::vector<kind_of_load>& kinds, double load,
                     bool is_kind_told, std::uint64_t seed) {
  struct caller {
    const kind_of_load* load;
    time_point sent_at;
  };
  manual_clock clock;
  random_source random{seed};
  admission_controller owner;
  upstream_limits limits;
  limits.slots = kSlots;
  limits.queue = 8 * kSlots;
  owner.SetLimits(limits);
  results all;
  std::map<admission_id, caller> callers;
  std::multimap<time_point, admission_id> ends;
  const auto start = [&](admission_id id) {
    const double spread = 0.5 + random.Fraction();
    ends.emplace(clock.Now() + std::chrono::duration_cast<duration>(
                                   callers.at(id).load->work * spread),
                 id);
  };
  const auto apply = [&](const std::vector<admission_effect>& effects) {
    for (const admission_effect& effect : effects) {
      if (effect.refused == refusal_cause::kNone) {
        start(effect.id);
        continue;
      }
      const caller refused = callers.at(effect.id);
      callers.erase(effect.id);
      kind_result& result = all[refused.load->kind];
      ++result.refused;
      result.waited_before_refusal += clock.Now() - refused.sent_at;
    }
  };
  for (milliseconds passed{0}; passed < kLength; passed += milliseconds{1}) {
    clock.Advance(milliseconds{1});
    while (!ends.empty() && ends.begin()->first <= clock.Now()) {
      const admission_id id = ends.begin()->second;
      ends.erase(ends.begin());
      const caller ended = callers.at(id);
      callers.erase(id);
      kind_result& result = all[ended.load->kind];
      ++result.served;
      result.on_time +=
          clock.Now() <= ended.sent_at + ended.load->objective ? 1 : 0;
      apply(owner.Finish(clock.Now(), id));
    }
    for (const kind_of_load& each : kinds) {
      const double arrivals_a_step =
          load * kSlots * each.share / static_cast<double>(each.work.count());
      for (double left = arrivals_a_step; left > 0.0; left -= 1.0) {
        if (random.Fraction() >= left) {
          continue;
        }
        const time_point now = clock.Now();
        ++all[each.kind].asked;
        const auto reply = owner.Arrive(
            now, {now + each.deadline, each.rank, now + each.objective,
                  is_kind_told ? each.kind : kUnknownKind});
        apply(reply.effects);
        if (reply.decided == admission_reply::kind::kRefused) {
          ++all[each.kind].refused;
          continue;
        }
        callers.emplace(reply.id, caller{&each, now});
        if (reply.decided == admission_reply::kind::kStart) {
          start(reply.id);
        }
      }
    }
  }
  return all;
}

inline void Report(const results& all, double load, const char* name) {
  for (const auto& [kind, each] : all) {
    BOOST_TEST_MESSAGE(name << " load " << load << " kind " << kind
                            << " on time " << each.OnTimeShare() << " served "
                            << each.ServedShare());
  }
}

inline constexpr double kLoads[] = {1.2, 1.5, 2.0, 3.0};

}  // namespace wagtailmount::testing
