#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "LibBase/endpoint.h"

namespace wagtailmount {

/// A backend server as it has registered itself with the platform.
struct upstream_record {
  std::string id;  ///< Of this start of the backend server.
  std::string service;
  endpoint backend_server;  ///< The VM's address, and the port on the VM.
  std::string failure_domain;
  std::uint32_t slots = 0;  ///< Requests that it runs at one time.
  bool is_leaving = false;
  std::chrono::milliseconds cold_left{0};  ///< When it wrote this.

  bool operator==(const upstream_record&) const = default;
};

}  // namespace wagtailmount
