#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/error.h"
#include "LibBase/json_document.h"

namespace wagtailmount {

/// ParseJsonDocument() with all faults told in one message, each with its line
/// and column or its path.
result<nlohmann::json> ParseJsonWithComments(std::string_view text);

/// Reads the members of one JSON object strictly: every fault is collected with
/// its path, and members that nobody asked for are faults too. The object and
/// the list of faults must outlive the reader.
class json_object_reader {
 public:
  json_object_reader(const nlohmann::json& object, std::string path,
                     std::vector<document_fault>& faults);

  /// A text that must be there and must not be empty.
  std::string RequiredText(std::string_view key);
  std::string OptionalText(std::string_view key, std::string_view fallback);

  /// A whole number from `lowest` to `highest`.
  std::uint64_t RequiredNumber(std::string_view key, std::uint64_t lowest,
                               std::uint64_t highest);
  std::uint64_t OptionalNumber(std::string_view key, std::uint64_t fallback,
                               std::uint64_t lowest, std::uint64_t highest);
  /// A whole number or a fraction from `lowest` to `highest`.
  double OptionalFraction(std::string_view key, double fallback, double lowest,
                          double highest);
  /// The same, also as a text, as a template of the platform fills it in. True,
  /// false and an empty text state no figure: `fallback` then stands.
  double OptionalFigure(std::string_view key, double fallback, double lowest,
                        double highest);
  bool OptionalFlag(std::string_view key, bool fallback);
  std::vector<std::string> OptionalTexts(std::string_view key);

  /// The member, or null when it is missing; a member of another type is a
  /// fault and gives null.
  const nlohmann::json* OptionalObject(std::string_view key);
  const nlohmann::json* OptionalArray(std::string_view key);

  bool Has(std::string_view key) const;

  /// The path of a member, for faults that the caller finds itself.
  std::string PathOf(std::string_view key) const;
  void AddFault(std::string_view key, std::string reason);

  /// The list that faults go to, for readers of the objects within.
  std::vector<document_fault>& Faults() { return faults_; }

  /// Stops RefuseUnknownMembers() from adding faults, where one fault already
  /// leaves open which members are known.
  void AcceptAllMembers() { accepts_all_members_ = true; }

  /// Call last: every member not asked for becomes a fault.
  void RefuseUnknownMembers();

 private:
  const nlohmann::json* Find(std::string_view key);

  const nlohmann::json& object_;
  std::string path_;
  std::vector<document_fault>& faults_;
  std::set<std::string, std::less<>> asked_;
  bool accepts_all_members_ = false;
};

}  // namespace wagtailmount
