// Measures what the membership table costs a node at several fleet sizes:
// memory, processor time per event, and bytes on a link.
#include <malloc.h>

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibLink/message_codec.h"
#include "LibMembership/membership.h"
#include "LibSource/reader_selection.h"

namespace wagtailmount {

namespace {

constexpr std::size_t kFailureDomains = 13;
constexpr std::size_t kVmsPerService = 7;
constexpr std::size_t kRepeats = 2'000;
constexpr std::size_t kSlowRepeats = 10;

double ThreadCpuMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

/// Returns the average processor time of one run of `work`, in microseconds.
double AverageMicroseconds(std::size_t repeats,
                           const std::function<void(std::size_t)>& work) {
  const double begin = ThreadCpuMicroseconds();
  for (std::size_t i = 0; i < repeats; ++i) {
    work(i);
  }
  return (ThreadCpuMicroseconds() - begin) / static_cast<double>(repeats);
}

vm_record Record(std::size_t i, std::size_t size) {
  const std::string domain = std::to_string(i % kFailureDomains);
  vm_record record;
  record.vm = "backend-" + domain + "-" + std::to_string(100'000 + i);
  record.region = "region-" + std::to_string(i % kFailureDomains % 5);
  record.failure_domain = "failure-domain-" + domain;
  record.service = "service-" + std::to_string(i % (size / kVmsPerService + 1));
  const std::string address = "10." + std::to_string(i / 65'536) + "." +
                              std::to_string(i / 256 % 256) + "." +
                              std::to_string(i % 256);
  record.peer = {address, 7102};
  record.hop = {address, 7101};
  record.incarnation = 1'700'000'000'000 + i;
  record.state = vm_state::kServing;
  return record;
}

void MeasureFleetSize(std::size_t size) {
  const manual_clock clock;
  const time_point now = clock.Now();
  std::vector<vm_record> all;
  for (std::size_t i = 0; i < size; ++i) {
    all.push_back(Record(i, size));
  }
  const std::size_t bytes_before = mallinfo2().uordblks;
  membership table({}, all.front(), now);
  const double insert = AverageMicroseconds(
      size, [&](std::size_t i) { table.MergeAnnouncement(now, all[i]); });
  table.TakeDelta(size);
  const double first_list = AverageMicroseconds(
      1, [&](std::size_t) { table.MergePlatformList(now, all, 1); });
  const double build =
      AverageMicroseconds(1, [&](std::size_t) { table.AllUpstreams(); });
  const std::size_t bytes = mallinfo2().uordblks - bytes_before;

  const double known = AverageMicroseconds(kRepeats, [&](std::size_t i) {
    table.MergeAnnouncement(now, all[i * 7 % size]);
  });
  // A restart as its peers see it: first, the record with a higher incarnation
  // is merged and passed on; below, the upstreams are rebuilt as well.
  const double changed = AverageMicroseconds(kRepeats, [&](std::size_t i) {
    vm_record record = all[1 + i * 7 % (size - 1)];
    record.incarnation += 1 + i;
    table.MergeAnnouncement(now, record);
    table.TakeDelta(1);
  });
  const double published =
      AverageMicroseconds(kSlowRepeats, [&](std::size_t i) {
        vm_record record = all[1 + i];
        record.incarnation += 1'000'000;
        table.MergeAnnouncement(now, record);
        table.AllUpstreams();
      });
  const double list = AverageMicroseconds(kSlowRepeats, [&](std::size_t i) {
    table.MergePlatformList(now, all, 2 + i);
  });
  const double tick =
      AverageMicroseconds(kRepeats, [&](std::size_t) { table.Tick(now); });
  std::uint64_t checksum = 0;
  const double compare = AverageMicroseconds(
      kRepeats, [&](std::size_t) { checksum += table.Hash(); });
  const double rank = AverageMicroseconds(kSlowRepeats, [&](std::size_t) {
    checksum += ReaderRank(all.front().vm, all.front().failure_domain, all);
  });
  std::vector<std::uint64_t> buckets(table.BucketHashes().begin(),
                                     table.BucketHashes().end());
  ++buckets[3];
  std::vector<vm_record> repair;
  const double repair_time = AverageMicroseconds(
      kSlowRepeats,
      [&](std::size_t) { repair = table.RecordsToRepair(buckets); });
  const std::size_t repair_bytes =
      EncodeMessage(membership_message{repair, true}).size();
  std::printf(
      "%6zu  %8.2f  %5zu  %7.2f  %7.2f  %7.2f  %9.1f  %8.2f  %8.2f  %8.2f  "
      "%6.3f  %6.3f  %8.2f  %7.1f  %8zu\n",
      size, static_cast<double>(bytes) / 1e6, bytes / size, insert, known,
      changed, published, first_list / 1e3, list / 1e3, build / 1e3, tick,
      compare, rank / 1e3, repair_time, repair_bytes);
  // Uses the checksum, so that the compiler cannot drop the measured calls.
  if (checksum == 0) {
    std::printf("no hash\n");
  }
}

void MeasureMessageSizes() {
  constexpr std::size_t kMany = 50;
  const std::size_t one =
      EncodeMessage(membership_message{{Record(7, 22'000)}, false}).size();
  membership_message many;
  for (std::size_t i = 0; i < kMany; ++i) {
    many.records.push_back(Record(i, 22'000));
  }
  const std::size_t all = EncodeMessage(many).size();
  std::printf("a delta of one record: %zu bytes; each further: %zu bytes\n",
              one, (all - one) / (kMany - 1));
}

}  // namespace

}  // namespace wagtailmount

int main() {
  std::printf(
      "   VMs        MB   B/VM  insert    known  changed  published  "
      "1st list      list     build    tick  compare      rank   repair  "
      "repair\n"
      "                            us       us       us         us        ms  "
      "      ms        ms      us      us        ms       us       B\n");
  for (const std::size_t size : {1'000U, 5'500U, 11'000U, 22'000U, 44'000U}) {
    wagtailmount::MeasureFleetSize(size);
  }
  wagtailmount::MeasureMessageSizes();
  return 0;
}
