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

/// Names one version of the configuration. A proxy only ever moves to a greater
/// one; the digest orders two versions of one revision, which only a platform
/// restored from an old copy can publish.
struct version_id {
  std::uint64_t revision =
      0;  ///< The platform's revision of the folder; 0 means no version at all.
  digest content;  ///< The digest of the manifest.

  auto operator<=>(const version_id&) const = default;
};

/// One file of the folder as published.
struct config_file {
  std::string name;
  std::shared_ptr<const std::string> content;
  digest content_digest;
};

/// One line of a manifest.
struct manifest_entry {
  std::string name;
  digest content_digest;
  std::uint64_t size_bytes = 0;

  auto operator<=>(const manifest_entry&) const = default;
};

/// The bounds that the owner of an upstream enforces.
struct upstream_limits {
  std::uint32_t slots = 20;         ///< Requests that run at one time.
  std::uint32_t connections = 130;  ///< Connections to the backend server.
  std::uint32_t queue = 40;         ///< Requests that may wait for a slot.
  std::chrono::milliseconds slow_start{10'000};

  bool operator==(const upstream_limits&) const = default;
};

/// What a caller may send, and how long it may take or stay idle.
struct request_limits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 64ULL * 1024 * 1024;
  std::chrono::milliseconds header_timeout{5'000};
  std::chrono::milliseconds idle_timeout{75'000};

  bool operator==(const request_limits&) const = default;
};

/// What a service promises; reports measure against it.
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
  std::string team;  ///< The team that declared it first; overrides by other
                     ///< teams don't change it.
  upstream_limits limits;
  service_level level;

  bool operator==(const service&) const = default;
};

/// A resource: how often requests may be tried again.
struct retry_policy {
  std::string name;
  std::uint32_t attempts =
      3;  ///< All attempts of one request, the first included.
  double budget_share = 0.1;  ///< Retries allowed as a share of the requests.

  bool operator==(const retry_policy&) const = default;
};

struct header_field {
  std::string name;
  std::string value;

  bool operator==(const header_field&) const = default;
};

/// A resource: fields set on each request of a route before it goes to the
/// backend server.
struct header_set {
  std::string name;
  std::vector<header_field> fields;

  bool operator==(const header_set&) const = default;
};

/// The rank of a request: the lower, the earlier it is served. A platform may
/// use further ranks after these.
enum class request_priority : std::uint8_t { kInteractive, kBackground };

enum class idempotency : std::uint8_t { kByMethod, kAlways, kNever };

/// A route holds what it refers to, so a route without its service or resource
/// can't be made.
/// A share of a route's requests.
struct route_part {
  std::shared_ptr<const service> target;
  std::uint32_t weight = 0;

  bool operator==(const route_part&) const = default;
};

struct route {
  std::string name;
  std::string team;
  std::string host;         ///< Lower case, no port; empty matches every host.
  std::string path_prefix;  ///< Whole path segments: "/a" matches "/a" and
                            ///< "/a/b", not "/ab".
  std::vector<std::string> methods;  ///< In name order; empty matches every
                                     ///< method.
  std::shared_ptr<const service> target;
  std::vector<route_part> parts;  ///< Empty: all requests go to `target`.
  std::shared_ptr<const retry_policy>
      retry;  ///< Never null; the built-in policy when the file names none.
  std::shared_ptr<const header_set>
      headers;  ///< Null when the route sets no fields.
  request_priority priority = request_priority::kInteractive;
  idempotency repeatable = idempotency::kByMethod;
  std::chrono::milliseconds deadline{2'000};
  /// Within that an answer is worth most to the caller; 0: not told.
  std::chrono::milliseconds latency_objective{0};
  /// Matches only what is below the prefix, not the prefix itself.
  bool matches_only_below = false;

  /// Compares what it refers to by identity: an equal route refers to the very
  /// same service and resources.
  bool operator==(const route&) const = default;
};

namespace detail {
struct acceptance_record;
}  // namespace detail

/// One accepted version, whole and immutable.
class configuration {
 public:
  struct contents {
    version_id version;
    std::vector<manifest_entry> manifest;                  ///< In name order.
    std::vector<config_file> files;                        ///< In name order.
    std::vector<std::shared_ptr<const service>> services;  ///< In name order.
    std::vector<std::shared_ptr<const route>> routes;  ///< Most specific first.
    request_limits limits;
    std::shared_ptr<const detail::acceptance_record>
        record;  ///< What AcceptFolder() needs to re-use this version; may be
                 ///< null.
  };

  /// Puts services and routes into their order, unless AcceptFolder() did.
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
  const request_limits& Limits() const { return parts_.limits; }

  /// The service of this name, or null.
  std::shared_ptr<const service> FindService(std::string_view name) const;

  /// The most specific route for a request, or null: the exact host before
  /// any host, then the longest path prefix, then named methods before any
  /// method. `host` may carry a port; `path` is without its query.
  const route* FindRoute(std::string_view host, std::string_view path,
                         std::string_view method) const;

  const detail::acceptance_record* Record() const {
    return parts_.record.get();
  }

 private:
  /// The routes of one host, as positions in the list of routes.
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
  std::vector<host_range> hosts_;  ///< In the order of hosts.
};

}  // namespace wagtailmount
