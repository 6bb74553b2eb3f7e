#pragma once

#include <algorithm>
#include <cstdint>

namespace wagtailmount {

/// What all nodes together may spend on repeats of one service.
struct fleet_retry_limits {
  double share = 0.0;       ///< Of the service's requests.
  std::uint32_t slack = 0;  ///< Beyond that share.
};

/// Bounds the retries of one service to a share of its requests, so that a
/// failing service gets little more work than a sound one. Nodes share nothing:
/// each spends its own part of what the fleet may.
class retry_budget {
 public:
  /// Takes this node's part of the fleet's limits.
  void SetLimits(const fleet_retry_limits& limits, std::uint32_t fleet_size) {
    share_ = limits.share * kUsedShare;
    most_tokens_ = std::max(1.0, limits.slack * kUsedSlack /
                                     std::max<std::uint32_t>(1, fleet_size));
    tokens_ = std::min(tokens_, most_tokens_);
  }

  /// A request begins; `share` of a retry is earned with it, or the share of
  /// the fleet's limits where there are some.
  void Earn(double share) {
    const double earned = share_ > 0.0 ? share_ : share;
    tokens_ = std::min(most_tokens_, tokens_ + earned);
  }

  /// Spends one retry; false when none is left.
  bool TrySpend() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

 private:
  /// What a quiet service may have saved up, in retries.
  static constexpr double kMostTokens = 20.0;
  static constexpr double kFirstTokens = 10.0;
  /// The parts of the fleet's limits that are used. The rest is for calls that
  /// repeated runs make once more, which no entry can count.
  static constexpr double kUsedShare = 0.6;
  static constexpr double kUsedSlack = 0.5;

  double share_ = 0.0;
  double most_tokens_ = kMostTokens;
  double tokens_ = kFirstTokens;
};

}  // namespace wagtailmount
