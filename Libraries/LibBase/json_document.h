#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace wagtailmount {

/// One fault found in a document: where, and what is wrong.
struct document_fault {
  std::string path;  ///< JSON path, as "$.listen.caller"; "line 3, column 7"
                     ///< when the text is no JSON.
  std::string reason;

  bool operator==(const document_fault&) const = default;
};

/// How deep objects and arrays may stand in one another.
inline constexpr std::size_t kDeepestNesting = 16;

/// Parses JSON that may hold comments. Beyond the grammar, it refuses what
/// parsers commonly let pass: a key given twice in one object, nesting deeper
/// than kDeepestNesting, text that is not UTF-8 (in comments too) and control
/// characters other than tab and line ends.
tl::expected<nlohmann::json, std::vector<document_fault>> ParseJsonDocument(
    std::string_view text);

}  // namespace wagtailmount
