#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wagtailmount::testing {

/// An answer that never ends: how it begins, and what is then sent again and
/// again.
struct endless_answer {
  std::string begin;
  std::string repeated;
};

/// The endless answer of this name, such as "endless-header"; nothing if there
/// is none.
std::optional<endless_answer> FindEndlessAnswer(std::string_view name);

}  // namespace wagtailmount::testing
