#include "LibMembership/record_hash.h"

#include <string>

#include "LibBase/digest.h"

namespace wagtailmount {

std::uint64_t HashOfRecord(const vm_record& record) {
  constexpr char kSeparator = '\n';
  std::string text;
  for (const std::string* part :
       {&record.vm, &record.region, &record.failure_domain, &record.service,
        &record.peer.address, &record.hop.address}) {
    text += *part;
    text += kSeparator;
  }
  for (const std::uint64_t number :
       {std::uint64_t{record.peer.port}, std::uint64_t{record.hop.port},
        record.incarnation, static_cast<std::uint64_t>(record.state)}) {
    text += std::to_string(number);
    text += kSeparator;
  }
  return HashOf(text);
}

std::size_t record_set_hash::BucketOf(std::string_view vm) {
  return HashOf(vm) % kBuckets;
}

// A sum, unlike an exclusive or, also changes if a record is added twice.
void record_set_hash::Add(std::size_t bucket, std::uint64_t record_hash) {
  buckets_[bucket] += record_hash;
  total_ += record_hash;
}

void record_set_hash::Remove(std::size_t bucket, std::uint64_t record_hash) {
  buckets_[bucket] -= record_hash;
  total_ -= record_hash;
}

}  // namespace wagtailmount
