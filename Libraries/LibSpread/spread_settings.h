#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "LibBase/clock.h"

namespace wagtailmount {

/// The intervals and limits of a spreader.
struct spread_settings {
  std::string vm;

  /// How often this node sends each peer a compare message with the version it
  /// holds. Must be well below the time without messages after which links are
  /// closed.
  duration compare_period = std::chrono::seconds{2};

  /// How long a peer may take to answer before another one is asked. Requests
  /// for files and whole manifests are given the time in addition that their
  /// size takes at the slowest rate.
  duration pull_timeout = std::chrono::seconds{1};
  std::uint64_t slowest_bytes_per_second = std::uint64_t{128} * 1024;

  /// Exponential backoff for a peer whose pull failed: it is not asked again
  /// for the first duration, doubled with each further failure up to the
  /// greatest.
  duration initial_backoff = std::chrono::seconds{1};
  duration max_backoff = std::chrono::seconds{60};

  /// If two calls are at least this far apart, the process counts as paused.
  duration pause_threshold = std::chrono::seconds{3};

  /// After a pause, this node offers nothing for this long, so that peers can
  /// first report newer versions.
  duration offer_delay_after_pause = std::chrono::seconds{2};

  /// The most peers with outstanding file requests at a time.
  std::size_t parallel_sources = 4;

  /// The most bytes of files in one request and in one answer. A larger file
  /// is requested and sent alone.
  std::size_t chunk_bytes = std::size_t{256} * 1024;

  /// Limit on the manifests and files served to all peers together; requests
  /// beyond it wait.
  std::uint64_t served_bytes_per_second = std::uint64_t{2} * 1024 * 1024;

  /// The most names of changed files kept to answer pulls with deltas.
  std::size_t history_names = 8192;

  /// The most refused versions remembered.
  std::size_t remembered_refusals = 64;

  /// The most VMs whose greatest held version is remembered.
  std::size_t remembered_vms = 1024;
};

}  // namespace wagtailmount
