#pragma once

#include <algorithm>

namespace wagtailmount {

/// Bounds the retries of one service to a share of its requests, so that a
/// failing service gets little more work than a sound one.
class retry_budget {
 public:
  /// A request begins; `share` of a retry is earned with it.
  void Earn(double share) { tokens_ = std::min(kMostTokens, tokens_ + share); }

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

  double tokens_ = kFirstTokens;
};

}  // namespace wagtailmount
