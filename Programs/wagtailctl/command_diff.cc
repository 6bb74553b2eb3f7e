#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>

#include "LibConfig/acceptance.h"
#include "LibConfig/difference.h"
#include "wagtailctl/command_line.h"
#include "wagtailctl/commands.h"
#include "wagtailctl/folder_reader.h"
#include "wagtailctl/refusal_text.h"

namespace wagtailmount {

namespace {

constexpr std::string_view kHelp =
    "Tells which services and routes are in force differently once the files "
    "of\nfolder OLD are replaced by those of folder NEW. Needs no running "
    "node.\n\n"
    "Exit status:\n"
    "  0  both folders are accepted; differences, if any, are printed\n"
    "  1  one of the folders is refused; its reasons are printed\n"
    "  2  misuse, or a folder can't be read";

/// The folder has no revision before the platform publishes it.
constexpr std::uint64_t kUnpublished = 0;

/// One folder as accepted, or the status to end with after printing why.
struct accepted_folder {
  std::shared_ptr<const configuration> accepted;
  exit_status status = exit_status::kSuccess;
};

accepted_folder Accept(const std::string& folder, const configuration* previous,
                       command_streams streams) {
  const auto files = ReadFolder(folder);
  if (!files.has_value()) {
    streams.err << "wagtailctl: " << files.error().message << "\n";
    return {nullptr, exit_status::kMisuse};
  }
  auto verdict = AcceptFolder(kUnpublished, *files, previous);
  if (!verdict.has_value()) {
    streams.err << "wagtailctl: folder \"" << folder << "\" is ";
    PrintRefusal(verdict.error(), streams.err);
    return {nullptr, exit_status::kRefused};
  }
  return {std::move(*verdict), exit_status::kSuccess};
}

nlohmann::json ToJson(const std::vector<entry_difference>& differences) {
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& each : differences) {
    nlohmann::json fields = nlohmann::json::array();
    for (const auto& field : each.fields) {
      fields.push_back({{"field", field.field},
                        {"before", field.before},
                        {"after", field.after}});
    }
    entries.push_back({{"change", NameOf(each.kind)},
                       {"section", each.section},
                       {"name", each.name},
                       {"fields", std::move(fields)}});
  }
  return {{"differences", std::move(entries)}};
}

std::string Quoted(const std::string& text) {
  return text.empty() ? "nothing" : "\"" + text + "\"";
}

void PrintText(const std::vector<entry_difference>& differences,
               std::ostream& out) {
  if (differences.empty()) {
    out << "no service and no route differs\n";
  }
  for (const auto& each : differences) {
    out << NameOf(each.kind) << " " << each.section << "." << each.name << "\n";
    for (const auto& field : each.fields) {
      out << "  " << field.field << ": " << Quoted(field.before) << " -> "
          << Quoted(field.after) << "\n";
    }
  }
}

}  // namespace

exit_status RunDiff(std::span<const std::string> arguments,
                    command_streams streams) {
  command_form form{"diff OLD NEW [--json]", kHelp, {}, {"OLD", "NEW"}};
  form.options.add_options()("json", "print the answer as JSON");
  const auto line = ParseCommandLine(form, arguments, streams);
  if (line.end.has_value()) {
    return *line.end;
  }
  const auto before =
      Accept(line.values["OLD"].as<std::string>(), nullptr, streams);
  if (before.accepted == nullptr) {
    return before.status;
  }
  const auto after = Accept(line.values["NEW"].as<std::string>(),
                            before.accepted.get(), streams);
  if (after.accepted == nullptr) {
    return after.status;
  }
  const auto differences =
      CompareConfigurations(*before.accepted, *after.accepted);
  if (line.values.count("json") != 0) {
    streams.out << ToJson(differences).dump(2) << "\n";
  } else {
    PrintText(differences, streams.out);
  }
  return exit_status::kSuccess;
}

}  // namespace wagtailmount
