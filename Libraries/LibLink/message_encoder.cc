#include <nlohmann/json.hpp>
#include <utility>

#include "LibLink/message_codec.h"

namespace wagtailmount {

namespace {

using nlohmann::json;

json ToCbor(const digest& value) {
  return json::binary(
      std::vector<std::uint8_t>(value.bytes.begin(), value.bytes.end()));
}

json ToCbor(const std::string& text) { return text; }

json ToCbor(const version_id& version) {
  return json::array({version.revision, ToCbor(version.content)});
}

json ToCbor(std::chrono::milliseconds age) { return age.count(); }

json ToCbor(const endpoint& address) {
  return json::array({address.address, address.port});
}

json ToCbor(const vm_record& record) {
  return json::array({record.vm, record.region, record.failure_domain,
                      record.service, ToCbor(record.peer), ToCbor(record.hop),
                      record.incarnation,
                      static_cast<std::uint8_t>(record.state)});
}

json ToCbor(const manifest_entry& entry) {
  return json::array(
      {entry.name, ToCbor(entry.content_digest), entry.size_bytes});
}

json ToCbor(const file_body& body) {
  return json::array({ToCbor(body.content_digest),
                      json::binary(std::vector<std::uint8_t>(
                          body.content.begin(), body.content.end()))});
}

json ToCbor(const refusal_reason& reason) {
  return json::array({reason.file, reason.path, reason.reason});
}

json ToCbor(const catalog_item& item) {
  const bool has_content = item.content != nullptr;
  return json::array({item.key, item.revision, item.created, item.base_revision,
                      item.is_removed ? 1U : 0U,
                      json::binary(has_content ? std::vector<std::uint8_t>(
                                                     item.content->begin(),
                                                     item.content->end())
                                               : std::vector<std::uint8_t>{})});
}

template <typename T>
json ToCbor(const std::vector<T>& items) {
  json list = json::array();
  for (const auto& item : items) {
    list.push_back(ToCbor(item));
  }
  return list;
}

json FieldsOf(const hello_message& hello) {
  return json::array({hello.protocol, ToCbor(hello.sender), ToCbor(hello.held),
                      hello.newest_seen, ToCbor(hello.receiver_last_held)});
}

json FieldsOf(const offer_message& offer) {
  return json::array(
      {ToCbor(offer.version), offer.hops, ToCbor(offer.source_age)});
}

json FieldsOf(const pull_message& pull) {
  return json::array(
      {ToCbor(pull.wanted), ToCbor(pull.held), ToCbor(pull.recently_changed)});
}

json FieldsOf(const manifest_message& manifest) {
  return json::array({ToCbor(manifest.version), ToCbor(manifest.base),
                      ToCbor(manifest.changed), ToCbor(manifest.removed)});
}

json FieldsOf(const files_request_message& request) {
  return json::array({ToCbor(request.wanted)});
}

json FieldsOf(const files_message& files) {
  return json::array({ToCbor(files.bodies), ToCbor(files.missing)});
}

json FieldsOf(const refusal_message& refusal) {
  return json::array(
      {ToCbor(refusal.refused.version), ToCbor(refusal.refused.reasons)});
}

json FieldsOf(const membership_message& membership) {
  return json::array(
      {ToCbor(membership.records), membership.is_repair ? 1U : 0U});
}

json FieldsOf(const compare_message& compare) {
  return json::array({ToCbor(compare.held), compare.newest_seen,
                      compare.membership_hash, ToCbor(compare.source_age)});
}

json FieldsOf(const membership_request_message& request) {
  return json::array({request.bucket_hashes});
}

json ToCbor(const crash_report& report) {
  return json::array({report.request.head, ToCbor(report.request.whole),
                      report.crash, report.depth, report.is_refuted ? 1U : 0U,
                      ToCbor(report.age)});
}

json FieldsOf(const crash_reports_message& sent) {
  json reports = json::array();
  for (const crash_report& each : sent.reports) {
    reports.push_back(ToCbor(each));
  }
  return json::array({std::move(reports)});
}

json FieldsOf(const catalog_state_message& state) {
  return json::array(
      {state.complete_to, ToCbor(state.source_age), state.fast_vms, state.era});
}

json FieldsOf(const catalog_request_message& request) {
  return json::array({request.after, request.era});
}

json FieldsOf(const catalog_update_message& sent) {
  return json::array({sent.update.after, sent.update.complete_to,
                      ToCbor(sent.update.items), ToCbor(sent.source_age),
                      sent.update.era});
}

}  // namespace

std::string EncodeMessage(const message& content) {
  const json frame = json::array(
      {content.index(),
       std::visit([](const auto& fields) { return FieldsOf(fields); },
                  content)});
  std::string bytes;
  json::to_cbor(frame, bytes);
  return bytes;
}

}  // namespace wagtailmount
