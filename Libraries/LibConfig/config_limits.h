#pragma once

#include <cstddef>
#include <cstdint>

namespace wagtailmount {

/// Limits of a configuration folder and of the values in its files.
/// docs/CONFIGURATION.md documents them for operators.

inline constexpr std::size_t kLargestFileBytes = 1'000'000;
inline constexpr std::size_t kLargestFolderBytes = 16'000'000;
inline constexpr std::size_t kMostFiles = 20'000;

/// The length of names of files, teams, services, resources and routes.
inline constexpr std::size_t kLongestNameBytes = 100;

inline constexpr std::size_t kLongestHostBytes = 253;
inline constexpr std::size_t kLongestPrefixBytes = 512;
inline constexpr std::size_t kMostHeaderFields = 32;
inline constexpr std::size_t kLongestHeaderValueBytes = 1'024;

inline constexpr std::uint32_t kMostSlots = 10'000;
inline constexpr std::uint32_t kMostConnections = 60'000;
inline constexpr std::uint32_t kMostQueued = 100'000;
inline constexpr std::uint32_t kMostAttempts = 10;
inline constexpr std::uint32_t kLongestSlowStartMilliseconds = 600'000;
inline constexpr double kMostColdRequestsASecond = 1e9;
inline constexpr std::uint32_t kLongestDeadlineMilliseconds = 600'000;
inline constexpr std::uint32_t kLongestConvergenceMilliseconds = 600'000;

/// Range of a service level's target shares. A target share of 1 would leave no
/// error budget.
inline constexpr double kLowestTargetShare = 0.5;
inline constexpr double kHighestTargetShare = 0.99999;

/// A refusal is sent to every node, so the number and length of its reasons are
/// limited; one more reason states how many were left out.
inline constexpr std::size_t kMostReasons = 100;
inline constexpr std::size_t kLongestReasonBytes = 300;

}  // namespace wagtailmount
