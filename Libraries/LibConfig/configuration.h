#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/digest.h"

namespace wagtailmount {

/// Identifies one version of the configuration. A proxy only ever replaces its
/// version by a greater one. The digest orders two versions of the same
/// revision, which only a platform restored from an old backup can publish.
struct version_id {
  std::uint64_t revision =
      0;  ///< The platform's revision of the folder; 0 means no version.
  digest content;  ///< The digest of the manifest.

  auto operator<=>(const version_id&) const = default;
};

/// One file of the folder as published.
struct config_file {
  std::string name;
  std::shared_ptr<const std::string> content;
  digest content_digest;
};

/// One file in the manifest, the list of all files of a version.
struct manifest_entry {
  std::string name;
  digest content_digest;
  std::uint64_t size_bytes = 0;

  auto operator<=>(const manifest_entry&) const = default;
};

/// How a backend server may be used while it is cold: shortly after its start,
/// or after it lost what it had cached.
struct cold_start_policy {
  /// How long a backend server is cold after its start.
  std::chrono::milliseconds period{0};
  /// How many requests it takes in a second while it is cold; 0 if it sets no
  /// such limit.
  double requests_a_second = 0.0;

  bool operator==(const cold_start_policy&) const = default;
};

/// Limits of an upstream, enforced by its owner (the node beside it).
struct upstream_limits {
  std::uint32_t slots = 20;         ///< Requests processed at one time.
  std::uint32_t connections = 130;  ///< Connections to the backend server.
  std::uint32_t queue = 40;         ///< Requests that may wait for a slot.
  /// How long the load of a new upstream is ramped up.
  std::chrono::milliseconds slow_start{10'000};
  cold_start_policy cold_start;

  bool operator==(const upstream_limits&) const = default;
};

/// Limits on a caller's requests: sizes in bytes, the time to send the header,
/// and the time that a connection may stay idle.
struct request_limits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 64ULL * 1024 * 1024;
  std::chrono::milliseconds header_timeout{5'000};
  std::chrono::milliseconds idle_timeout{75'000};

  bool operator==(const request_limits&) const = default;
};

/// The service level objectives of a service; reports compare measurements with
/// them.
struct service_level {
  double success_share = 0.999;
  std::chrono::milliseconds latency{300};
  double latency_share =
      0.99;  ///< The share of requests answered within `latency`.
  std::chrono::milliseconds convergence{7'000};

  bool operator==(const service_level&) const = default;
};

struct service {
  std::string name;
  std::string team;  ///< The owner: the team that declared the service first.
                     ///< Overrides by other teams don't change it.
  upstream_limits limits;
  service_level level;

  bool operator==(const service&) const = default;
};

/// Asks that no request be sent to the backend servers of a failure domain
/// while the entry exists.
struct evacuation {
  std::string name;  ///< The failure domain.
  std::string team;  ///< As of a service.

  bool operator==(const evacuation&) const = default;
};

/// A resource that limits the retries of requests.
struct retry_policy {
  std::string name;
  std::uint32_t attempts = 3;  ///< Attempts per request, including the first.
  double budget_share = 0.1;   ///< Largest ratio of retries to requests.

  bool operator==(const retry_policy&) const = default;
};

struct header_field {
  std::string name;
  std::string value;

  bool operator==(const header_field&) const = default;
};

/// A resource that lists header fields to be set on each request of a route
/// before it is sent to the backend server.
struct header_set {
  std::string name;
  std::vector<header_field> fields;

  bool operator==(const header_set&) const = default;
};

/// The priority of a request; lower values are served first. A platform may use
/// further values above these.
enum class request_priority : std::uint8_t { kInteractive, kBackground };

enum class idempotency : std::uint8_t { kByMethod, kAlways, kNever };

/// One of several services that share a route's requests. Its share is `weight`
/// divided by the sum of the weights.
struct route_part {
  std::shared_ptr<const service> target;
  double weight = 0.0;

  bool operator==(const route_part&) const = default;
};

/// Matches requests and states where they go. A route owns references to its
/// service and resources, so it never refers to one that does not exist.
struct route {
  std::string name;
  std::string team;
  std::string host;         ///< Lower case, no port; empty matches every host.
  std::string path_prefix;  ///< Whole path segments: "/a" matches "/a" and
                            ///< "/a/b", not "/ab".
  std::vector<std::string> methods;  ///< In name order; empty matches every
                                     ///< method.
  std::shared_ptr<const service> target;
  std::vector<route_part> parts;  ///< If empty, all requests go to `target`.
  std::shared_ptr<const retry_policy>
      retry;  ///< Never null; the built-in policy if the file names none.
  std::shared_ptr<const header_set>
      headers;  ///< Null if the route sets no header fields.
  request_priority priority = request_priority::kInteractive;
  idempotency repeatable = idempotency::kByMethod;
  std::chrono::milliseconds deadline{2'000};
  /// The latency within which an answer has its full value for the caller; 0 if
  /// none is set.
  std::chrono::milliseconds latency_objective{0};
  /// Whether the route matches only paths below the prefix, not the prefix
  /// itself.
  bool matches_only_below = false;
  /// Whether its answers are too long to be held whole; learned where the
  /// configuration doesn't tell.
  bool has_long_answers = false;

  /// Compares service and resources by pointer: equal routes refer to the same
  /// objects.
  bool operator==(const route&) const = default;
};

namespace detail {
struct acceptance_record;
}  // namespace detail

/// One accepted version of the configuration. Immutable; looks up services by
/// name and routes by request.
class configuration {
 public:
  struct contents {
    version_id version;
    std::vector<manifest_entry> manifest;                  ///< In name order.
    std::vector<config_file> files;                        ///< In name order.
    std::vector<std::shared_ptr<const service>> services;  ///< In name order.
    std::vector<std::shared_ptr<const evacuation>>
        evacuations;                                   ///< In name order.
    std::vector<std::shared_ptr<const route>> routes;  ///< Most specific first.
    request_limits limits;
    /// What was accepted although its meaning is not known, with its path.
    std::vector<std::string> warnings;
    std::shared_ptr<const detail::acceptance_record>
        record;  ///< Lets AcceptFolder() re-use parts of this version; may be
                 ///< null.
  };

  /// Sorts services and routes, unless `parts` has a record: AcceptFolder() has
  /// sorted them then.
  explicit configuration(contents parts);

  const version_id& Version() const { return parts_.version; }
  std::span<const manifest_entry> Manifest() const { return parts_.manifest; }
  std::span<const config_file> Files() const { return parts_.files; }
  std::span<const std::shared_ptr<const service>> Services() const {
    return parts_.services;
  }
  std::span<const std::shared_ptr<const route>> Routes() const {
    return parts_.routes;
  }
  /// Empty if the platform has evacuations of its own.
  std::span<const std::shared_ptr<const evacuation>> Evacuations() const {
    return parts_.evacuations;
  }
  const request_limits& Limits() const { return parts_.limits; }
  std::span<const std::string> Warnings() const { return parts_.warnings; }

  /// The service with this name, or null.
  std::shared_ptr<const service> FindService(std::string_view name) const;

  /// The most specific route that matches a request, or null. Routes for the
  /// exact host precede routes for any host, then longer path prefixes precede
  /// shorter ones, then routes with named methods precede those for any method.
  /// `host` may include a port; `path` excludes the query.
  const route* FindRoute(std::string_view host, std::string_view path,
                         std::string_view method) const;

  const detail::acceptance_record* Record() const {
    return parts_.record.get();
  }

 private:
  /// The routes of one host: the positions [begin, end) in the list of routes.
  struct host_range {
    std::string_view host;
    std::size_t begin = 0;
    std::size_t end = 0;
    std::size_t longest_prefix = 0;  ///< In bytes.
  };

  void PutInOrder();
  void IndexHosts();
  const host_range* FindHost(std::string_view host) const;
  const route* FindInHost(const host_range& range, std::string_view path,
                          std::string_view method) const;

  contents parts_;
  std::vector<host_range> hosts_;  ///< In IsHostBefore() order.
};

}  // namespace wagtailmount
