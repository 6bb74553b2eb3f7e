#pragma once

#include <cstdint>
#include <string_view>

namespace wagtailmount {

/// Whether a request may have run at a backend server.
enum class verdict : std::uint8_t {
  kNotRun,      ///< Certainly not run in any attempt.
  kMayHaveRun,  ///< Its bytes may have reached a backend server.
  kRan,         ///< A backend server answered it.
};

/// Returns the value of the header field "Wagtailmount-Verdict": "not-run",
/// "may-have-run" or "ran".
std::string_view NameOf(verdict value);

/// Returns the verdict on a request after two attempts: the one after which a
/// repeat is less safe.
verdict Combine(verdict first, verdict second);

}  // namespace wagtailmount
