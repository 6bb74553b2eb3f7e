#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "LibBase/endpoint.h"

namespace wagtailmount {

/// Lifecycle of one incarnation of a VM; the state only advances.
enum class vm_state : std::uint8_t { kStarting, kServing, kLeaving, kGone };

std::string_view NameOf(vm_state state);

/// The record that nodes exchange about one VM.
struct vm_record {
  std::string vm;
  std::string region;
  std::string failure_domain;
  std::string service;
  endpoint peer;  ///< Where other nodes open control links.
  endpoint hop;   ///< Where other nodes send requests for this VM's upstream.
  /// 0 if only the platform's list names the VM.
  std::uint64_t incarnation = 0;
  vm_state state = vm_state::kStarting;

  bool operator==(const vm_record&) const = default;
};

}  // namespace wagtailmount
