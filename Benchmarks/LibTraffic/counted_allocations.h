#pragma once

#include <cstdint>

/// The number of calls of operator new in this process so far. Linking
/// counted_allocations.cc replaces operator new to count them.
std::uint64_t AllocationCount();
