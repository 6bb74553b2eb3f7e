#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "LibBase/endpoint.h"

namespace wagtailmount {

/// A backend server's registration with the platform, as it wrote it.
struct upstream_record {
  std::string id;  ///< With `born`, unique to each start of the backend server.
  /// The Unix time of its start in milliseconds; 0 if it does not state it.
  std::int64_t born = 0;
  std::string service;
  endpoint backend_server;  ///< The VM's address, and the port on the VM.
  std::string failure_domain;
  std::uint32_t slots = 0;  ///< The number of requests that it runs at once.
  bool is_leaving = false;
  /// The rest of its warm-up after a start, when it wrote the record.
  std::chrono::milliseconds cold_remaining{0};

  bool operator==(const upstream_record&) const = default;
};

}  // namespace wagtailmount
