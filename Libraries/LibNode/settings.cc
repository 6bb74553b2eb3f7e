#include "LibNode/settings.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "LibBase/duration_text.h"

namespace wagtailmount {

namespace {

constexpr double kMaximumCallsPerSecond = 1e6;
constexpr std::uint64_t kMaximumVms = 1'000'000;
constexpr std::uint64_t kMaximumTrafficThreads = 64;
constexpr double kMaximumDescriptors = 1'048'576.0;
constexpr double kMaximumLinkMegabits = 10e6;
constexpr std::uint64_t kMaximumDrainGraceMs = 600'000;
constexpr std::uint64_t kMaximumJoinWaitMs = 60'000;
constexpr std::uint64_t kDefaultDrainGraceMs = 30'000;
constexpr std::uint64_t kDefaultJoinWaitMs = 5'000;

constexpr std::string_view kFolderInterface = "folder";
constexpr std::string_view kCatalogInterface = "catalog";

using nlohmann::json;

const json& EmptyObject() {
  static const json empty = json::object();
  return empty;
}

/// Returns a reader of a required nested object. If that is missing, adds a
/// fault and returns a reader of an empty object.
json_object_reader RequiredSection(json_object_reader& parent,
                                   std::string_view key,
                                   std::vector<document_fault>& faults) {
  const json* section = parent.OptionalObject(key);
  if (section == nullptr && !parent.Has(key)) {
    parent.AddFault(key, "is missing");
  }
  const json& object = section == nullptr ? EmptyObject() : *section;
  return json_object_reader(object, parent.PathOf(key), faults);
}

endpoint ReadEndpoint(json_object_reader& section, std::string_view key) {
  const std::string text = section.RequiredText(key);
  if (text.empty()) {
    return {};
  }
  auto parsed = ParseEndpoint(text);
  if (!parsed) {
    section.AddFault(key, parsed.error().message);
    return {};
  }
  return *std::move(parsed);
}

std::vector<endpoint> ReadEndpoints(json_object_reader& section,
                                    std::string_view key) {
  std::vector<endpoint> endpoints;
  for (const auto& text : section.OptionalTexts(key)) {
    auto parsed = ParseEndpoint(text);
    if (parsed) {
      endpoints.push_back(*std::move(parsed));
    } else {
      section.AddFault(key, parsed.error().message);
    }
  }
  return endpoints;
}

void ReadListenAddresses(json_object_reader& root, node_settings& settings,
                         std::vector<document_fault>& faults) {
  auto listen = RequiredSection(root, "listen", faults);
  settings.caller = ReadEndpoint(listen, "caller");
  settings.hop = ReadEndpoint(listen, "hop");
  settings.peer = ReadEndpoint(listen, "peer");
  settings.admin = ReadEndpoint(listen, "admin");
  if (listen.Has("readiness")) {
    settings.readiness = ReadEndpoint(listen, "readiness");
  }
  listen.RefuseUnknownMembers();
}

/// Reads the addresses that are announced to other VMs; the default is the
/// listening addresses.
void ReadAdvertisedAddresses(json_object_reader& root, node_settings& settings,
                             std::vector<document_fault>& faults) {
  settings.advertised_hop = settings.hop;
  settings.advertised_peer = settings.peer;
  const json* section = root.OptionalObject("advertise");
  if (section == nullptr) {
    return;
  }
  json_object_reader advertise(*section, root.PathOf("advertise"), faults);
  if (advertise.Has("hop")) {
    settings.advertised_hop = ReadEndpoint(advertise, "hop");
  }
  if (advertise.Has("peer")) {
    settings.advertised_peer = ReadEndpoint(advertise, "peer");
  }
  advertise.RefuseUnknownMembers();
}

void ReadBackendServer(json_object_reader& root, node_settings& settings,
                       std::vector<document_fault>& faults) {
  auto backend_server = RequiredSection(root, "backend_server", faults);
  settings.backend_server = ReadEndpoint(backend_server, "address");
  backend_server.RefuseUnknownMembers();
}

void ReadPlatform(json_object_reader& root, node_settings& settings,
                  std::vector<document_fault>& faults) {
  auto platform = RequiredSection(root, "platform", faults);
  settings.platform = ReadEndpoints(platform, "addresses");
  if (settings.platform.empty()) {
    platform.AddFault("addresses", "must name at least one address");
  }
  const std::string interface =
      platform.OptionalText("interface", kFolderInterface);
  if (interface == kCatalogInterface) {
    settings.interface = platform_interface::kCatalog;
  } else if (interface != kFolderInterface) {
    platform.AddFault("interface", "must be \"folder\" or \"catalog\"");
  }
  if (!platform.Has("calls_per_second")) {
    platform.AddFault("calls_per_second", "is missing");
  }
  settings.platform_calls_per_second = platform.OptionalFraction(
      "calls_per_second", 1.0, 1.0, kMaximumCallsPerSecond);
  settings.expected_vms = static_cast<std::uint32_t>(
      platform.RequiredNumber("expected_vms", 1, kMaximumVms));
  platform.RefuseUnknownMembers();
}

/// Reads the grace period as a text with a unit, like "6s", the form in which a
/// platform may fill it in. It overrides drain_grace_ms.
void ReadDrainGraceText(json_object_reader& root, node_settings& settings) {
  if (!root.Has("drain_grace")) {
    return;
  }
  const auto grace = ParseDuration(root.RequiredText("drain_grace"));
  if (grace) {
    settings.drain_grace = *grace;
  } else {
    root.AddFault("drain_grace", grace.error().message);
  }
}

void ReadRetryBudget(json_object_reader& root, node_settings& settings,
                     std::vector<document_fault>& faults) {
  const json* section = root.OptionalObject("retries");
  if (section == nullptr) {
    return;
  }
  constexpr double kMaximumRetryShare = 10.0;
  constexpr double kMaximumRetrySlack = 1e6;
  json_object_reader retries(*section, root.PathOf("retries"), faults);
  settings.retry_share = retries.OptionalFigure("share", settings.retry_share,
                                                0.0, kMaximumRetryShare);
  settings.retry_slack = retries.OptionalFigure("slack", settings.retry_slack,
                                                0.0, kMaximumRetrySlack);
  retries.RefuseUnknownMembers();
}

void ReadColdStarts(json_object_reader& root, node_settings& settings,
                    std::vector<document_fault>& faults) {
  const json* section = root.OptionalObject("cold_starts");
  if (section == nullptr) {
    return;
  }
  constexpr double kMaximumColdOverage = 10.0;
  constexpr double kMaximumColdSlack = 1e6;
  json_object_reader cold(*section, root.PathOf("cold_starts"), faults);
  settings.cold_overage = cold.OptionalFigure("overage", settings.cold_overage,
                                              0.0, kMaximumColdOverage);
  settings.cold_slack =
      cold.OptionalFigure("slack", settings.cold_slack, 0.0, kMaximumColdSlack);
  cold.RefuseUnknownMembers();
}

}  // namespace

tl::expected<node_settings, std::vector<document_fault>> ParseNodeSettings(
    std::string_view text) {
  auto document = ParseJsonWithComments(text);
  if (!document) {
    return tl::unexpected(
        std::vector<document_fault>{{"$", document.error().message}});
  }
  std::vector<document_fault> faults;
  node_settings settings;
  json_object_reader root(*document, "$", faults);
  settings.vm = root.RequiredText("vm");
  settings.region = root.RequiredText("region");
  settings.failure_domain = root.RequiredText("failure_domain");
  settings.service = root.RequiredText("service");
  ReadListenAddresses(root, settings, faults);
  ReadAdvertisedAddresses(root, settings, faults);
  ReadBackendServer(root, settings, faults);
  ReadPlatform(root, settings, faults);
  settings.seeds = ReadEndpoints(root, "seeds");
  settings.traffic_threads = static_cast<std::uint32_t>(
      root.OptionalNumber("traffic_threads", 1, 1, kMaximumTrafficThreads));
  settings.link_megabits_per_second = root.OptionalFraction(
      "link_megabits_per_second", 0.0, 0.0, kMaximumLinkMegabits);
  settings.maximum_descriptors =
      static_cast<std::uint32_t>(root.OptionalFraction(
          "maximum_descriptors", 0.0, 0.0, kMaximumDescriptors));
  settings.drain_grace = std::chrono::milliseconds(root.OptionalNumber(
      "drain_grace_ms", kDefaultDrainGraceMs, 0, kMaximumDrainGraceMs));
  ReadDrainGraceText(root, settings);
  ReadRetryBudget(root, settings, faults);
  ReadColdStarts(root, settings, faults);
  if (settings.interface == platform_interface::kCatalog &&
      settings.readiness.address.empty()) {
    root.AddFault(
        "listen",
        "must hold \"readiness\" if the platform's interface is \"catalog\"");
  }
  settings.join_wait = std::chrono::milliseconds(root.OptionalNumber(
      "join_wait_ms", kDefaultJoinWaitMs, 0, kMaximumJoinWaitMs));
  root.RefuseUnknownMembers();
  if (!faults.empty()) {
    return tl::unexpected(std::move(faults));
  }
  return settings;
}

vm_record MakeOwnRecord(const node_settings& settings,
                        std::int64_t started_unix_ms, vm_state state) {
  return {.vm = settings.vm,
          .region = settings.region,
          .failure_domain = settings.failure_domain,
          .service = settings.service,
          .peer = settings.advertised_peer,
          .hop = settings.advertised_hop,
          .incarnation = static_cast<std::uint64_t>(started_unix_ms),
          .state = state};
}

}  // namespace wagtailmount
