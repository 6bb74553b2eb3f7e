#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wagtailmount {

/// What turns `base` into `target`: pieces copied from the base, and new bytes.
/// Small where the two hold mostly the same JSON objects, in whatever order, or
/// many alike; long ones are compressed.
std::string MakeDelta(std::string_view base, std::string_view target);

/// Nothing when the delta is malformed, or was made from another base.
std::optional<std::string> ApplyDelta(std::string_view base,
                                      std::string_view delta);

}  // namespace wagtailmount
