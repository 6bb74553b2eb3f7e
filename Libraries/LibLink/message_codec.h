#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "LibBase/error.h"
#include "LibLink/message.h"

namespace wagtailmount {

/// The largest frame that is sent or taken, in bytes. The whole manifest of the
/// largest folder fits, and so does the largest file.
inline constexpr std::size_t kMaximumFrameBytes = std::size_t{3} * 1024 * 1024;

/// Writes a message as CBOR.
std::string EncodeMessage(const message& content);

/// Reads one frame. Malformed, oversized and unknown frames are errors that
/// name what is wrong.
result<message> DecodeMessage(std::string_view frame);

}  // namespace wagtailmount
