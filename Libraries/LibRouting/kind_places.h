#pragma once

#include <array>
#include <cstddef>

#include "LibBase/clock.h"
#include "LibConfig/configuration.h"
#include "LibRouting/request_kind.h"

namespace wagtailmount {

/// Assigns kinds of requests to a fixed number of places, so that what is kept
/// for each upstream and kind stays bounded.
class kind_places {
 public:
  /// Places that kinds have for themselves.
  static constexpr std::size_t kOwnPlaces = 8;
  /// Places of ranks, for kinds that are not told or find no other.
  static constexpr std::size_t kRankPlaces = 4;
  static constexpr std::size_t kCount = kRankPlaces + kOwnPlaces;
  /// A kind that is not asked for any longer loses its place to another one.
  static constexpr std::chrono::seconds kUnusedTime{5};

  /// Returns the place of `kind`, less than kCount.
  std::size_t Take(time_point now, request_priority rank, request_kind kind);

 private:
  struct owner {
    request_kind kind = kUnknownKind;
    time_point used_at{};
  };

  std::array<owner, kOwnPlaces> owners_;
};

}  // namespace wagtailmount
