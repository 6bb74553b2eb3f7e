#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "LibBase/clock.h"
#include "LibSpread/manifest_delta.h"
#include "LibSpread/spread_settings.h"

namespace wagtailmount {

/// Tracks the download of the files of one version: which file contents
/// ("bodies") are still missing, and which peer each was requested from. Each
/// peer has at most one request outstanding.
class body_download {
 public:
  enum class receive_result {
    kAccepted,
    kUnsolicited,  ///< Neither requested from this peer nor needed.
    kWrongDigest,  ///< The sender is at fault.
    kWrongSize,    ///< The manifest is at fault: a digest covers the content,
                   ///< but nothing proves the size that the manifest states.
  };

  body_download(std::span<const wanted_body> wanted,
                const spread_settings& settings);

  bool IsComplete() const { return contents_.size() == sizes_.size(); }
  bool IsWaiting() const { return !requests_.empty(); }
  bool HasOpenRequest(std::string_view peer) const;
  std::size_t OpenRequests() const { return requests_.size(); }

  /// Assigns the next request to `peer` and returns its digests; empty when
  /// the peer has a request outstanding, was excluded, or has none of the
  /// files that are left to request.
  std::vector<digest> Assign(time_point now, std::string_view peer);

  /// Verifies a received body and stores it. It is kept only if its digest
  /// matches, so it may come from any peer.
  receive_result Receive(time_point now, std::string_view peer,
                         const file_body& body);

  /// `peer` answered that it does not hold these; they will be requested from
  /// other peers.
  void NoteMissing(std::string_view peer, std::span<const digest> missing);

  /// Excludes a peer that disconnected, timed out or sent wrong data: what it
  /// was asked for will be requested from other peers.
  void ExcludePeer(std::string_view peer);

  /// The peers whose requests have reached their deadline.
  std::vector<std::string> PeersPastDeadline(time_point now) const;

  const content_pool& Contents() const { return contents_; }

 private:
  struct request {
    std::unordered_set<digest> outstanding;
    std::uint64_t outstanding_bytes = 0;
    time_point deadline;
  };

  /// Removes `received` from the request of `peer` and extends the deadline for
  /// what is left; false if that request does not contain it.
  bool CompleteBody(time_point now, std::string_view peer,
                    const digest& received);
  time_point DeadlineFor(time_point now, std::uint64_t bytes) const;
  bool IsMissingAt(std::string_view peer, const digest& wanted) const;

  std::size_t chunk_bytes_;
  duration timeout_;
  std::uint64_t slowest_bytes_per_second_;
  std::unordered_map<digest, std::uint64_t> sizes_;
  std::deque<digest> unassigned_;
  content_pool contents_;
  std::map<std::string, request, std::less<>> requests_;
  std::map<std::string, std::unordered_set<digest>, std::less<>> missing_at_;
  std::set<std::string, std::less<>> excluded_peers_;
};

}  // namespace wagtailmount
