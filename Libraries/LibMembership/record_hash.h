#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "LibMembership/vm_record.h"

namespace wagtailmount {

/// Returns a hash over all fields of a record. It is the same on every node.
std::uint64_t HashOfRecord(const vm_record& record);

/// Incremental hash over a set of records. Two sets with equal hashes are taken
/// for equal. The hash is split into buckets by VM name, so that a repair sends
/// only the records in buckets that differ.
class record_set_hash {
 public:
  static constexpr std::size_t kBuckets = 256;

  static std::size_t BucketOf(std::string_view vm);

  void Add(std::size_t bucket, std::uint64_t record_hash);
  void Remove(std::size_t bucket, std::uint64_t record_hash);

  std::uint64_t Total() const { return total_; }
  std::span<const std::uint64_t, kBuckets> Buckets() const { return buckets_; }

 private:
  std::array<std::uint64_t, kBuckets> buckets_{};
  std::uint64_t total_ = 0;
};

}  // namespace wagtailmount
