#include "LibConfig/file_parser.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "LibBase/json_object_reader.h"
#include "LibConfig/config_limits.h"
#include "LibConfig/entry_parsers.h"
#include "LibConfig/name_rules.h"

namespace wagtailmount::detail {

namespace {

using nlohmann::json;

using entry_parser = entry_value (*)(std::string_view name,
                                     std::string_view team,
                                     json_object_reader& reader);

/// The parser for the entries of one section.
struct section_parser {
  entry_kind kind;
  entry_parser parse;
};

constexpr std::array<section_parser, kEntryKinds> kSectionParsers{{
    {entry_kind::kService, ParseService},
    {entry_kind::kResource, ParseResource},
    {entry_kind::kRoute, ParseRoute},
    {entry_kind::kEvacuation, ParseEvacuation},
}};

/// The first reason not to parse the file, or nullopt.
std::optional<document_fault> FaultOfBytes(const config_file& published) {
  if (auto fault = FaultOfName(published.name)) {
    return document_fault{"", "the file's name " + *fault};
  }
  if (published.content == nullptr) {
    return document_fault{"", "the content is missing"};
  }
  if (published.content->size() > kLargestFileBytes) {
    return document_fault{
        "", "the file has " + std::to_string(published.content->size()) +
                " bytes; the most are " + std::to_string(kLargestFileBytes)};
  }
  if (DigestOf(*published.content) != published.content_digest) {
    return document_fault{"", "the content does not match its digest"};
  }
  return std::nullopt;
}

std::optional<std::vector<std::string>> ReadMayOverride(
    json_object_reader& reader) {
  if (!reader.Has("may_override")) {
    return std::nullopt;
  }
  std::vector<std::string> teams = reader.OptionalTexts("may_override");
  for (const auto& team : teams) {
    if (auto fault = FaultOfName(team)) {
      reader.AddFault("may_override", "the team's name " + *fault);
    }
  }
  return teams;
}

declaration ParseEntry(const section_parser& form, const std::string& name,
                       const json& value, parsed_file& file) {
  declaration entry{form.kind, name, {}, {}};
  if (auto fault = FaultOfName(name)) {
    file.faults.push_back({entry.Path(), "the entry's name " + *fault});
  }
  if (value.is_null()) {
    return entry;
  }
  if (!value.is_object()) {
    file.faults.push_back(
        {entry.Path(), "must be an object, or null to remove the entry"});
    entry.value = std::shared_ptr<const service>();
    return entry;
  }
  json_object_reader reader(value, entry.Path(), file.faults);
  entry.may_override = ReadMayOverride(reader);
  entry.value = form.parse(name, file.team, reader);
  reader.RefuseUnknownMembers();
  return entry;
}

void ParseDocument(const json& document, parsed_file& file) {
  if (!document.is_object()) {
    file.faults.push_back({"$", "must be an object"});
    return;
  }
  json_object_reader reader(document, "$", file.faults);
  file.team = reader.RequiredText("team");
  if (auto fault = FaultOfName(file.team); fault && !file.team.empty()) {
    reader.AddFault("team", std::move(*fault));
  }
  file.is_readable = file.faults.empty();
  for (const auto& form : kSectionParsers) {
    const json* section = reader.OptionalObject(SectionOf(form.kind));
    if (section == nullptr) {
      continue;
    }
    for (const auto& [name, value] : section->items()) {
      file.declarations.push_back(ParseEntry(form, name, value, file));
    }
  }
  reader.RefuseUnknownMembers();
}

}  // namespace

parsed_file_pointer ParseFile(const config_file& published) {
  auto file = std::make_shared<parsed_file>();
  file->published = published;
  if (auto fault = FaultOfBytes(published)) {
    file->faults.push_back(std::move(*fault));
    return file;
  }
  auto document = ParseJsonDocument(*published.content);
  if (!document.has_value()) {
    file->faults = std::move(document.error());
    return file;
  }
  ParseDocument(*document, *file);
  return file;
}

}  // namespace wagtailmount::detail
