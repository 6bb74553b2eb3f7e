#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibConfig/configuration.h"
#include "LibReport/counter_increase.h"

namespace wagtailmount {

/// The share of changes that must be in force within the target; the
/// configuration sets the time, not the share.
inline constexpr double kConvergenceTargetShare = 0.99;

/// From this rate on, the error budget of 30 days is spent within 50 hours.
inline constexpr double kFastBurn = 14.4;

/// The two windows that are looked at; both end with the last round.
struct burn_windows {
  std::chrono::seconds brief{300};
  std::chrono::seconds extended{3'600};
};

enum class objective_kind : std::uint8_t { kSuccess, kLatency, kConvergence };

/// "success", "latency" or "convergence".
std::string_view NameOf(objective_kind kind);

enum class burn_state : std::uint8_t {
  kNoData,        ///< Nothing was counted in the short or the long window.
  kWithinBudget,  ///< The rate is below 1 in the short or the long window.
  kBurning,       ///< The rate is 1 or above in both.
  kBurningFast,   ///< The rate is kFastBurn or above in both.
};

/// "no data", "within budget", "burning" or "burning fast".
std::string_view NameOf(burn_state state);

/// What was counted against one objective in some time.
struct burn_count {
  std::uint64_t events = 0;
  std::uint64_t bad = 0;
  double allowed = 0;  ///< As many of the events as the target lets be bad.

  /// How fast the error budget is spent: at 1, it just lasts. 0 without events.
  double Rate() const {
    return allowed > 0 ? static_cast<double>(bad) / allowed : 0;
  }

  burn_count& operator+=(const burn_count& other);
};

/// One point of a plot.
struct burn_point {
  std::int64_t unix_ms = 0;
  double value = 0;
};

struct objective_burn {
  objective_kind kind = objective_kind::kSuccess;
  double target_share = 0;
  burn_count brief;
  burn_count extended;
  std::vector<burn_point> rates;  ///< From round to round in the long window,
                                  ///< where anything was counted.

  burn_state State() const;
};

/// The burn of one service, or of the fleet.
struct scope_burn {
  std::string name;  ///< Empty for the fleet.
  std::vector<objective_burn> objectives;
};

struct burn_report {
  std::int64_t begin_unix_ms = 0;  ///< Of the first round counted in the long
                                   ///< window; the end when there is none.
  std::int64_t brief_begin_unix_ms = 0;
  std::int64_t end_unix_ms = 0;
  burn_windows windows;
  std::vector<std::string> answering;  ///< VMs of the last round.
  std::vector<silent_node> silent;     ///< Nodes of the last round.
  std::uint32_t restarts = 0;          ///< In the long window.
  scope_burn fleet;
  std::vector<scope_burn> services;           ///< In name order.
  double control_bytes_per_node_second = 0;   ///< Over the long window.
  std::vector<burn_point> control_bytes;      ///< A node and second, by round.
  std::vector<std::string> unknown_services;  ///< Counted, but not in the
                                              ///< configuration.

  /// The worst state of any objective.
  burn_state WorstState() const;
};

/// Measures `rounds`, in the order of their times, against the service levels
/// of `accepted`.
burn_report MakeBurnReport(std::span<const sample_round> rounds,
                           const configuration& accepted,
                           const burn_windows& windows);

}  // namespace wagtailmount
