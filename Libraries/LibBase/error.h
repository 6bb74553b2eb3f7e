#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace wagtailmount {

/// What kind of failure an error describes; callers decide by it, people read
/// the message.
enum class error_kind {
  kInvalidInput,  ///< The data given is malformed or out of range; trying again
                  ///< with the same data cannot help.
  kUnavailable,   ///< The other side cannot be reached or refuses for now;
                  ///< trying again later may help.
  kTimeout,       ///< No answer came in time.
  kOverLimit,     ///< A budget or bound is used up.
  kConflict,      ///< The data changed while it was being read.
  kInternal,      ///< The operating system or a library failed.
};

/// The name of a kind, as printed in logs and reports.
std::string_view NameOf(error_kind kind);

/// A failure, with where it happened told in its message.
struct error {
  error_kind kind = error_kind::kInternal;
  std::string message;
};

template <typename T>
using result = tl::expected<T, error>;

/// Makes the failed form of any result.
inline tl::unexpected<error> Fail(error_kind kind, std::string message) {
  return tl::unexpected<error>(error{kind, std::move(message)});
}

}  // namespace wagtailmount
