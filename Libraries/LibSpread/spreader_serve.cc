#include <unordered_set>
#include <utility>

#include "LibSpread/spreader.h"

namespace wagtailmount {

namespace {

/// Size of a manifest entry in a message without its name.
constexpr std::uint64_t kManifestEntryOverheadBytes = 40;

std::uint64_t WireSizeOf(const manifest_message& manifest) {
  std::uint64_t bytes = 0;
  for (const auto& entry : manifest.changed) {
    bytes += entry.name.size() + kManifestEntryOverheadBytes;
  }
  for (const auto& name : manifest.removed) {
    bytes += name.size();
  }
  return bytes;
}

}  // namespace

void spreader::HandleRequest(time_point now, content_request request,
                             spread_effects& effects) {
  if (requests_.Add(now, std::move(request))) {
    ++counters_.requests_delayed;
  }
  ServeRequests(now, effects);
}

void spreader::ServeRequests(time_point now, spread_effects& effects) {
  while (auto request = requests_.Next(now)) {
    if (const auto* pull = std::get_if<pull_message>(&request->wanted)) {
      requests_.Spend(ServeManifest(now, request->peer_vm, *pull, effects));
    } else {
      requests_.Spend(ServeFiles(
          request->peer_vm, std::get<files_request_message>(request->wanted),
          effects));
    }
  }
}

std::uint64_t spreader::ServeManifest(time_point now, const std::string& vm,
                                      const pull_message& pull,
                                      spread_effects& effects) {
  if (pull.wanted != HeldVersion() || held_ == nullptr) {
    // The requested version is not held here any more. Offer the one held now,
    // if it is greater than the peer's.
    const auto peer = peers_.find(vm);
    if (peer != peers_.end()) {
      SendOffer(now, vm, peer->second, effects);
    }
    return 0;
  }
  auto delta = history_.DeltaSince(pull.held, pull.recently_changed, *held_);
  ++(delta ? counters_.manifests_served_as_delta
           : counters_.manifests_served_whole);
  auto manifest = delta ? std::move(*delta) : WholeManifestOf(*held_);
  const auto bytes = WireSizeOf(manifest);
  AddSend(effects, vm, std::move(manifest));
  return bytes;
}

std::uint64_t spreader::ServeFiles(const std::string& vm,
                                   const files_request_message& request,
                                   spread_effects& effects) {
  std::unordered_set<digest> wanted(request.wanted.begin(),
                                    request.wanted.end());
  files_message answer;
  std::uint64_t answer_bytes = 0;
  std::uint64_t total_bytes = 0;
  const auto files =
      held_ == nullptr ? std::span<const config_file>() : held_->Files();
  for (const auto& file : files) {
    if (wanted.erase(file.content_digest) == 0) {
      continue;
    }
    const auto size = file.content->size() + digest::kSizeBytes;
    if (!answer.bodies.empty() && answer_bytes + size > settings_.chunk_bytes) {
      AddSend(effects, vm, std::move(answer));
      answer = {};
      answer_bytes = 0;
    }
    answer.bodies.push_back({file.content_digest, *file.content});
    ++counters_.bodies_served;
    answer_bytes += size;
    total_bytes += size;
  }
  answer.missing.assign(wanted.begin(), wanted.end());
  AddSend(effects, vm, std::move(answer));
  return total_bytes;
}

}  // namespace wagtailmount
