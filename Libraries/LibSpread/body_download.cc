#include "LibSpread/body_download.h"

#include <chrono>
#include <utility>

namespace wagtailmount {

namespace {

/// Limits a request for many tiny files.
constexpr std::size_t kMaxDigestsPerRequest = 2048;

}  // namespace

body_download::body_download(std::span<const wanted_body> wanted,
                             const spread_settings& settings)
    : chunk_bytes_(settings.chunk_bytes),
      timeout_(settings.pull_timeout),
      slowest_bytes_per_second_(settings.slowest_bytes_per_second) {
  for (const auto& body : wanted) {
    if (sizes_.emplace(body.content_digest, body.size_bytes).second) {
      unassigned_.push_back(body.content_digest);
    }
  }
}

bool body_download::HasOpenRequest(std::string_view peer) const {
  return requests_.find(peer) != requests_.end();
}

std::vector<digest> body_download::Assign(time_point now,
                                          std::string_view peer) {
  std::vector<digest> chunk;
  if (HasOpenRequest(peer) || excluded_peers_.contains(peer)) {
    return chunk;
  }
  std::uint64_t bytes = 0;
  std::deque<digest> skipped;
  while (!unassigned_.empty() && chunk.size() < kMaxDigestsPerRequest) {
    const digest next = unassigned_.front();
    if (contents_.contains(next)) {
      unassigned_.pop_front();
      continue;
    }
    if (!chunk.empty() && bytes + sizes_.at(next) > chunk_bytes_) {
      break;
    }
    unassigned_.pop_front();
    if (IsMissingAt(peer, next)) {
      skipped.push_back(next);
      continue;
    }
    bytes += sizes_.at(next);
    chunk.push_back(next);
  }
  unassigned_.insert(unassigned_.end(), skipped.begin(), skipped.end());
  if (!chunk.empty()) {
    requests_[std::string(peer)] = {
        {chunk.begin(), chunk.end()}, bytes, DeadlineFor(now, bytes)};
  }
  return chunk;
}

body_download::receive_result body_download::Receive(time_point now,
                                                     std::string_view peer,
                                                     const file_body& body) {
  const auto size = sizes_.find(body.content_digest);
  if (size == sizes_.end()) {
    return receive_result::kUnsolicited;
  }
  if (DigestOf(body.content) != body.content_digest) {
    return receive_result::kWrongDigest;
  }
  if (body.content.size() != size->second) {
    return receive_result::kWrongSize;
  }
  const bool is_requested = CompleteBody(now, peer, body.content_digest);
  const bool is_new =
      contents_
          .emplace(body.content_digest,
                   std::make_shared<const std::string>(body.content))
          .second;
  return is_requested || is_new ? receive_result::kAccepted
                                : receive_result::kUnsolicited;
}

bool body_download::CompleteBody(time_point now, std::string_view peer,
                                 const digest& received) {
  const auto found = requests_.find(peer);
  if (found == requests_.end() ||
      found->second.outstanding.erase(received) == 0) {
    return false;
  }
  found->second.outstanding_bytes -= sizes_.at(received);
  found->second.deadline = DeadlineFor(now, found->second.outstanding_bytes);
  if (found->second.outstanding.empty()) {
    requests_.erase(found);
  }
  return true;
}

void body_download::NoteMissing(std::string_view peer,
                                std::span<const digest> missing) {
  const auto found = requests_.find(peer);
  if (found == requests_.end()) {
    return;
  }
  for (const auto& each : missing) {
    if (found->second.outstanding.erase(each) > 0) {
      found->second.outstanding_bytes -= sizes_.at(each);
      missing_at_[found->first].insert(each);
      unassigned_.push_back(each);
    }
  }
  if (found->second.outstanding.empty()) {
    requests_.erase(found);
  }
}

void body_download::ExcludePeer(std::string_view peer) {
  excluded_peers_.emplace(peer);
  const auto found = requests_.find(peer);
  if (found == requests_.end()) {
    return;
  }
  for (const auto& each : found->second.outstanding) {
    unassigned_.push_back(each);
  }
  requests_.erase(found);
}

std::vector<std::string> body_download::PeersPastDeadline(
    time_point now) const {
  std::vector<std::string> late;
  for (const auto& [peer, request] : requests_) {
    if (now >= request.deadline) {
      late.push_back(peer);
    }
  }
  return late;
}

time_point body_download::DeadlineFor(time_point now,
                                      std::uint64_t bytes) const {
  return now + timeout_ +
         std::chrono::milliseconds(bytes * 1000 / slowest_bytes_per_second_);
}

bool body_download::IsMissingAt(std::string_view peer,
                                const digest& wanted) const {
  const auto found = missing_at_.find(peer);
  return found != missing_at_.end() && found->second.contains(wanted);
}

}  // namespace wagtailmount
