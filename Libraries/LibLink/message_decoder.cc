#include <array>
#include <boost/asio/ip/address.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibLink/cbor_reader.h"
#include "LibLink/message_codec.h"

namespace wagtailmount {

namespace {

using detail::array_reader;
using nlohmann::json;

constexpr std::size_t kLongestNameBytes = 255;
constexpr std::size_t kLongestReasonBytes = 4096;
constexpr std::size_t kLongestFileBytes = std::size_t{1024} * 1024;
constexpr std::uint64_t kHighestPort = 65535;
constexpr std::uint64_t kLongestAgeMilliseconds =
    std::uint64_t{366} * 24 * 3600 * 1000;
constexpr auto kAnyNumber = std::numeric_limits<std::uint64_t>::max();

std::string ReadName(array_reader& reader, std::string_view name) {
  auto text = reader.Text(name, kLongestNameBytes);
  if (text.empty()) {
    reader.SetFault(name, "is empty");
  }
  return text;
}

digest ReadDigest(array_reader& reader, std::string_view name) {
  const auto bytes = reader.Bytes(name, digest::kSizeBytes);
  digest value;
  if (bytes.size() != digest::kSizeBytes) {
    reader.SetFault(name, "is not a digest");
    return value;
  }
  std::copy(bytes.begin(), bytes.end(), value.bytes.begin());
  return value;
}

std::chrono::milliseconds ReadAge(array_reader& reader, std::string_view name) {
  return std::chrono::milliseconds{
      reader.Number(name, kLongestAgeMilliseconds)};
}

version_id ReadVersion(const json& item, std::string& fault) {
  array_reader reader(item, "version", 2, fault);
  version_id version;
  version.revision = reader.Number("revision", kAnyNumber);
  version.content = ReadDigest(reader, "content");
  return version;
}

endpoint ReadEndpoint(const json& item, std::string& fault) {
  array_reader reader(item, "endpoint", 2, fault);
  endpoint address;
  address.address = reader.Text("address", kLongestNameBytes);
  address.port =
      static_cast<std::uint16_t>(reader.Number("port", kHighestPort));
  boost::system::error_code failure;
  boost::asio::ip::make_address(address.address, failure);
  if (failure && !address.address.empty()) {
    reader.SetFault("address", "is not an IP address");
  }
  return address;
}

vm_record ReadVmRecord(const json& item, std::string& fault) {
  constexpr std::size_t kItems = 8;
  array_reader reader(item, "VM record", kItems, fault);
  vm_record record;
  record.vm = ReadName(reader, "vm");
  record.region = reader.Text("region", kLongestNameBytes);
  record.failure_domain = reader.Text("failure domain", kLongestNameBytes);
  record.service = reader.Text("service", kLongestNameBytes);
  record.peer = ReadEndpoint(reader.Any(), fault);
  record.hop = ReadEndpoint(reader.Any(), fault);
  record.incarnation = reader.Number("incarnation", kAnyNumber);
  record.state = static_cast<vm_state>(
      reader.Number("state", static_cast<std::uint64_t>(vm_state::kGone)));
  return record;
}

manifest_entry ReadManifestEntry(const json& item, std::string& fault) {
  array_reader reader(item, "manifest entry", 3, fault);
  manifest_entry entry;
  entry.name = ReadName(reader, "name");
  entry.content_digest = ReadDigest(reader, "digest");
  entry.size_bytes = reader.Number("size", kLongestFileBytes);
  return entry;
}

file_body ReadFileBody(const json& item, std::string& fault) {
  array_reader reader(item, "file", 2, fault);
  file_body body;
  body.content_digest = ReadDigest(reader, "digest");
  body.content = reader.Bytes("content", kLongestFileBytes);
  return body;
}

refusal_reason ReadRefusalReason(const json& item, std::string& fault) {
  array_reader reader(item, "refusal reason", 3, fault);
  refusal_reason reason;
  reason.file = reader.Text("file", kLongestNameBytes);
  reason.path = reader.Text("path", kLongestReasonBytes);
  reason.reason = reader.Text("reason", kLongestReasonBytes);
  return reason;
}

/// Reads a list whose items are read by `read_item`.
template <typename T>
std::vector<T> ReadList(const json& list, std::string& fault,
                        T (*read_item)(const json&, std::string&)) {
  std::vector<T> items;
  if (!fault.empty()) {
    return items;
  }
  if (!list.is_array()) {
    fault = "a list is not an array";
    return items;
  }
  items.reserve(list.size());
  for (const auto& item : list) {
    items.push_back(read_item(item, fault));
    if (!fault.empty()) {
      return {};
    }
  }
  return items;
}

digest ReadListedDigest(const json& item, std::string& fault) {
  const json wrapped = json::array({item});
  array_reader reader(wrapped, "list of digests", 1, fault);
  return ReadDigest(reader, "item");
}

std::string ReadListedName(const json& item, std::string& fault) {
  const json wrapped = json::array({item});
  array_reader reader(wrapped, "list of names", 1, fault);
  return ReadName(reader, "item");
}

std::uint64_t ReadListedHash(const json& item, std::string& fault) {
  const json wrapped = json::array({item});
  array_reader reader(wrapped, "list of hashes", 1, fault);
  return reader.Number("item", kAnyNumber);
}

message ReadHello(const json& fields, std::string& fault) {
  constexpr std::size_t kItems = 5;
  array_reader reader(fields, "hello", kItems, fault);
  hello_message hello;
  hello.protocol = static_cast<std::uint32_t>(
      reader.Number("protocol", std::numeric_limits<std::uint32_t>::max()));
  hello.sender = ReadVmRecord(reader.Any(), fault);
  hello.held = ReadVersion(reader.Any(), fault);
  hello.newest_seen = reader.Number("newest seen", kAnyNumber);
  hello.receiver_last_held = ReadVersion(reader.Any(), fault);
  return hello;
}

message ReadOffer(const json& fields, std::string& fault) {
  array_reader reader(fields, "offer", 3, fault);
  offer_message offer;
  offer.version = ReadVersion(reader.Any(), fault);
  offer.hops = static_cast<std::uint32_t>(
      reader.Number("hops", std::numeric_limits<std::uint32_t>::max()));
  offer.source_age = ReadAge(reader, "source age");
  return offer;
}

message ReadPull(const json& fields, std::string& fault) {
  array_reader reader(fields, "pull", 3, fault);
  pull_message pull;
  pull.wanted = ReadVersion(reader.Any(), fault);
  pull.held = ReadVersion(reader.Any(), fault);
  pull.recently_changed = ReadList(reader.Any(), fault, ReadListedName);
  if (pull.recently_changed.size() > pull_message::kMaximumNames) {
    reader.SetFault("names", "are too many");
  }
  return pull;
}

message ReadManifest(const json& fields, std::string& fault) {
  array_reader reader(fields, "manifest", 4, fault);
  manifest_message manifest;
  manifest.version = ReadVersion(reader.Any(), fault);
  manifest.base = ReadVersion(reader.Any(), fault);
  manifest.changed = ReadList(reader.Any(), fault, ReadManifestEntry);
  manifest.removed = ReadList(reader.Any(), fault, ReadListedName);
  return manifest;
}

message ReadFilesRequest(const json& fields, std::string& fault) {
  array_reader reader(fields, "files request", 1, fault);
  files_request_message request;
  request.wanted = ReadList(reader.Any(), fault, ReadListedDigest);
  return request;
}

message ReadFiles(const json& fields, std::string& fault) {
  array_reader reader(fields, "files", 2, fault);
  files_message files;
  files.bodies = ReadList(reader.Any(), fault, ReadFileBody);
  files.missing = ReadList(reader.Any(), fault, ReadListedDigest);
  return files;
}

message ReadRefusal(const json& fields, std::string& fault) {
  array_reader reader(fields, "refusal", 2, fault);
  refusal_message refusal;
  refusal.refused.version = ReadVersion(reader.Any(), fault);
  refusal.refused.reasons = ReadList(reader.Any(), fault, ReadRefusalReason);
  if (refusal.refused.reasons.empty()) {
    reader.SetFault("reasons", "are empty");
  }
  return refusal;
}

message ReadMembership(const json& fields, std::string& fault) {
  array_reader reader(fields, "membership", 2, fault);
  membership_message membership;
  membership.records = ReadList(reader.Any(), fault, ReadVmRecord);
  membership.is_repair = reader.Number("is repair", 1) == 1;
  return membership;
}

message ReadCompare(const json& fields, std::string& fault) {
  array_reader reader(fields, "compare", 4, fault);
  compare_message compare;
  compare.held = ReadVersion(reader.Any(), fault);
  compare.newest_seen = reader.Number("newest seen", kAnyNumber);
  compare.membership_hash = reader.Number("membership hash", kAnyNumber);
  compare.source_age = ReadAge(reader, "source age");
  return compare;
}

message ReadMembershipRequest(const json& fields, std::string& fault) {
  array_reader reader(fields, "membership request", 1, fault);
  membership_request_message request;
  request.bucket_hashes = ReadList(reader.Any(), fault, ReadListedHash);
  if (request.bucket_hashes.size() >
      membership_request_message::kMaximumBuckets) {
    reader.SetFault("bucket hashes", "are too many");
  }
  return request;
}

catalog_item ReadCatalogItem(const json& item, std::string& fault) {
  constexpr std::size_t kItems = 6;
  array_reader reader(item, "catalog item", kItems, fault);
  catalog_item read;
  read.key = ReadName(reader, "key");
  read.revision = reader.Number("revision", kAnyNumber);
  read.created = reader.Number("created", kAnyNumber);
  read.base_revision = reader.Number("base revision", kAnyNumber);
  read.is_removed = reader.Number("is removed", 1) == 1;
  auto content = reader.Bytes("content", kLongestFileBytes);
  if (!read.is_removed) {
    read.content = std::make_shared<const std::string>(std::move(content));
  }
  return read;
}

crash_report ReadCrashReport(const json& item, std::string& fault) {
  constexpr std::size_t kItems = 6;
  array_reader reader(item, "crash report", kItems, fault);
  crash_report report;
  report.request.head = reader.Number("head", kAnyNumber);
  report.request.whole = ReadDigest(reader, "whole");
  report.crash = reader.Number("crash", kAnyNumber);
  report.depth = static_cast<std::uint32_t>(
      reader.Number("depth", std::numeric_limits<std::uint32_t>::max()));
  report.is_refuted = reader.Number("is refuted", 1) == 1;
  report.age = ReadAge(reader, "age");
  return report;
}

message ReadCrashReports(const json& fields, std::string& fault) {
  array_reader reader(fields, "crash reports", 1, fault);
  crash_reports_message sent;
  sent.reports = ReadList(reader.Any(), fault, ReadCrashReport);
  if (sent.reports.size() > crash_reports_message::kMaximumReports) {
    reader.SetFault("reports", "are too many");
  }
  return sent;
}

message ReadCatalogState(const json& fields, std::string& fault) {
  constexpr std::size_t kItems = 4;
  array_reader reader(fields, "catalog state", kItems, fault);
  catalog_state_message state;
  state.complete_to = reader.Number("complete to", kAnyNumber);
  state.source_age = ReadAge(reader, "source age");
  state.fast_vms = ReadList(reader.Any(), fault, ReadListedName);
  if (state.fast_vms.size() > catalog_state_message::kMostFastVms) {
    reader.SetFault("fast VMs", "are too many");
  }
  state.era = reader.Number("era", kAnyNumber);
  return state;
}

message ReadCatalogRequest(const json& fields, std::string& fault) {
  constexpr std::size_t kItems = 2;
  array_reader reader(fields, "catalog request", kItems, fault);
  catalog_request_message request;
  request.after = reader.Number("after", kAnyNumber);
  request.era = reader.Number("era", kAnyNumber);
  return request;
}

message ReadCatalogUpdate(const json& fields, std::string& fault) {
  constexpr std::size_t kItems = 5;
  array_reader reader(fields, "catalog update", kItems, fault);
  catalog_update_message sent;
  sent.update.after = reader.Number("after", kAnyNumber);
  sent.update.complete_to = reader.Number("complete to", kAnyNumber);
  sent.update.items = ReadList(reader.Any(), fault, ReadCatalogItem);
  sent.source_age = ReadAge(reader, "source age");
  sent.update.era = reader.Number("era", kAnyNumber);
  return sent;
}

/// The readers in the order of the alternatives of `message`.
constexpr std::array kReaders = {
    ReadHello,         ReadOffer,
    ReadPull,          ReadManifest,
    ReadFilesRequest,  ReadFiles,
    ReadRefusal,       ReadMembership,
    ReadCompare,       ReadMembershipRequest,
    ReadCatalogState,  ReadCatalogRequest,
    ReadCatalogUpdate, ReadCrashReports,
};
static_assert(kReaders.size() == std::variant_size_v<message>);

}  // namespace

result<message> DecodeMessage(std::string_view frame) {
  if (frame.size() > kMaximumFrameBytes) {
    return Fail(error_kind::kInvalidInput,
                "the frame is refused: it has " + std::to_string(frame.size()) +
                    " bytes, over " + std::to_string(kMaximumFrameBytes));
  }
  const auto parsed = detail::ReadBoundedCbor(frame);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  std::string fault;
  array_reader reader(*parsed, "message", 2, fault);
  const auto kind = reader.Number("kind", kReaders.size() - 1);
  const json& fields = reader.Any();
  message content;
  if (fault.empty()) {
    content = kReaders[kind](fields, fault);
  }
  if (!fault.empty()) {
    return Fail(error_kind::kInvalidInput, "the message is refused: " + fault);
  }
  return content;
}

}  // namespace wagtailmount
