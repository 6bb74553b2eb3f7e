#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wagtailmount {

/// Returns the delta that turns `base` into `target`: copies of pieces of the
/// base, and inserted bytes. It is small if the two hold mostly the same JSON
/// objects, in any order, or if the new ones resemble each other: long deltas
/// are compressed.
std::string MakeDelta(std::string_view base, std::string_view target);

/// Returns the target, or nothing if the delta is malformed or was made from
/// another base.
std::optional<std::string> ApplyDelta(std::string_view base,
                                      std::string_view delta);

}  // namespace wagtailmount
