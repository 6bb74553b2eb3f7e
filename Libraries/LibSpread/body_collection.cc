#include "LibSpread/body_collection.h"

#include <chrono>
#include <utility>

namespace wagtailmount {

namespace {

/// Limits a request for many tiny files.
constexpr std::size_t kMostDigestsInARequest = 2048;

}  // namespace

body_collection::body_collection(std::span<const wanted_body> wanted,
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

bool body_collection::IsAsked(std::string_view peer) const {
  return requests_.find(peer) != requests_.end();
}

std::vector<digest> body_collection::Assign(time_point now,
                                            std::string_view peer) {
  std::vector<digest> chunk;
  if (IsAsked(peer) || given_up_.contains(peer)) {
    return chunk;
  }
  std::uint64_t bytes = 0;
  std::deque<digest> left;
  while (!unassigned_.empty() && chunk.size() < kMostDigestsInARequest) {
    const digest next = unassigned_.front();
    if (contents_.contains(next)) {
      unassigned_.pop_front();
      continue;
    }
    if (!chunk.empty() && bytes + sizes_.at(next) > chunk_bytes_) {
      break;
    }
    unassigned_.pop_front();
    if (IsLacking(peer, next)) {
      left.push_back(next);
      continue;
    }
    bytes += sizes_.at(next);
    chunk.push_back(next);
  }
  unassigned_.insert(unassigned_.end(), left.begin(), left.end());
  if (!chunk.empty()) {
    requests_[std::string(peer)] = {
        {chunk.begin(), chunk.end()}, bytes, DeadlineFor(now, bytes)};
  }
  return chunk;
}

body_collection::taking body_collection::Take(time_point now,
                                              std::string_view peer,
                                              const file_body& body) {
  const auto size = sizes_.find(body.content_digest);
  if (size == sizes_.end()) {
    return taking::kUnasked;
  }
  if (DigestOf(body.content) != body.content_digest) {
    return taking::kWrongDigest;
  }
  if (body.content.size() != size->second) {
    return taking::kWrongSize;
  }
  const bool is_asked = Settle(now, peer, body.content_digest);
  const bool is_new =
      contents_
          .emplace(body.content_digest,
                   std::make_shared<const std::string>(body.content))
          .second;
  return is_asked || is_new ? taking::kTaken : taking::kUnasked;
}

bool body_collection::Settle(time_point now, std::string_view peer,
                             const digest& answered) {
  const auto found = requests_.find(peer);
  if (found == requests_.end() || found->second.open.erase(answered) == 0) {
    return false;
  }
  found->second.open_bytes -= sizes_.at(answered);
  found->second.deadline = DeadlineFor(now, found->second.open_bytes);
  if (found->second.open.empty()) {
    requests_.erase(found);
  }
  return true;
}

void body_collection::NoteMissing(std::string_view peer,
                                  std::span<const digest> missing) {
  const auto found = requests_.find(peer);
  if (found == requests_.end()) {
    return;
  }
  for (const auto& each : missing) {
    if (found->second.open.erase(each) > 0) {
      found->second.open_bytes -= sizes_.at(each);
      lacking_[found->first].insert(each);
      unassigned_.push_back(each);
    }
  }
  if (found->second.open.empty()) {
    requests_.erase(found);
  }
}

void body_collection::GiveUpOn(std::string_view peer) {
  given_up_.emplace(peer);
  const auto found = requests_.find(peer);
  if (found == requests_.end()) {
    return;
  }
  for (const auto& each : found->second.open) {
    unassigned_.push_back(each);
  }
  requests_.erase(found);
}

std::vector<std::string> body_collection::LatePeers(time_point now) const {
  std::vector<std::string> late;
  for (const auto& [peer, request] : requests_) {
    if (now >= request.deadline) {
      late.push_back(peer);
    }
  }
  return late;
}

time_point body_collection::DeadlineFor(time_point now,
                                        std::uint64_t bytes) const {
  return now + timeout_ +
         std::chrono::milliseconds(bytes * 1000 / slowest_bytes_per_second_);
}

bool body_collection::IsLacking(std::string_view peer,
                                const digest& wanted) const {
  const auto found = lacking_.find(peer);
  return found != lacking_.end() && found->second.contains(wanted);
}

}  // namespace wagtailmount
