#pragma once

#include <algorithm>
#include <cstdint>

namespace wagtailmount {

/// How many retries of one service all nodes together may make.
struct fleet_retry_limits {
  double share = 0.0;  ///< Part of the service's requests.
  double slack = 0.0;  ///< Retries beyond that share.
};

/// A token bucket that bounds the retries of one service to a share of its
/// requests, so that a failing service gets little more load than a healthy
/// one. Nodes share no state: each spends its own part of the fleet's limits.
class retry_budget {
 public:
  /// Sets this node's part of the limits of a fleet of `fleet_size` nodes.
  void SetLimits(const fleet_retry_limits& limits, std::uint32_t fleet_size) {
    share_ = limits.share * kSpendableShare;
    max_tokens_ = std::max(1.0, limits.slack * kSpendableSlack /
                                    std::max<std::uint32_t>(1, fleet_size));
    tokens_ = std::min(tokens_, max_tokens_);
  }

  /// Adds `share` of a retry for a request that begins. If fleet limits with a
  /// share are set, adds the usable part of theirs instead.
  void Earn(double share) {
    const double earned = share_ > 0.0 ? share_ : share;
    tokens_ = std::min(max_tokens_, tokens_ + earned);
  }

  /// Takes one retry from the budget; false if none is left.
  bool TrySpend() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

 private:
  /// Caps what accumulates while a service needs no retries; in retries.
  static constexpr double kMaxTokens = 20.0;
  static constexpr double kInitialTokens = 10.0;
  /// The parts of the fleet's limits that nodes spend. The rest is for the
  /// calls to other services that a retried request repeats when it runs again;
  /// the nodes that receive these can't tell them from first calls. They are
  /// taken to be as many as a service's own retries.
  static constexpr double kSpendableShare = 0.48;
  static constexpr double kSpendableSlack = 0.5;

  double share_ = 0.0;
  double max_tokens_ = kMaxTokens;
  double tokens_ = kInitialTokens;
};

}  // namespace wagtailmount
