#include <nlohmann/json.hpp>
#include <ostream>

#include "LibConfig/acceptance.h"
#include "wagtailctl/command_line.h"
#include "wagtailctl/commands.h"
#include "wagtailctl/folder_reader.h"
#include "wagtailctl/refusal_text.h"

namespace wagtailmount {

namespace {

constexpr std::string_view kHelp =
    "Tells whether the files of FOLDER would be accepted as one version, by "
    "the\nsame rules as every node, and prints the version's digest or every "
    "reason\nagainst it. Needs no running node.\n\n"
    "Exit status:\n"
    "  0  accepted\n"
    "  1  refused; each reason names file, JSON path and what is wrong\n"
    "  2  misuse, or the folder can't be read";

/// The folder has no revision before the platform publishes it.
constexpr std::uint64_t kUnpublished = 0;

nlohmann::json ToJson(const configuration& accepted) {
  return {{"accepted", true},
          {"digest", accepted.Version().content.ToHex()},
          {"files", accepted.Files().size()},
          {"services", accepted.Services().size()},
          {"evacuations", accepted.Evacuations().size()},
          {"routes", accepted.Routes().size()}};
}

nlohmann::json ToJson(const refusal& refused) {
  nlohmann::json reasons = nlohmann::json::array();
  for (const auto& each : refused.reasons) {
    reasons.push_back(
        {{"file", each.file}, {"path", each.path}, {"reason", each.reason}});
  }
  return {{"accepted", false},
          {"digest", refused.version.content.ToHex()},
          {"reasons", std::move(reasons)}};
}

void PrintText(const configuration& accepted, std::ostream& out) {
  out << "accepted " << accepted.Version().content.ToHex() << "\n"
      << accepted.Files().size() << " files, " << accepted.Services().size()
      << " services, " << accepted.Routes().size() << " routes\n";
  for (const auto& each : accepted.Evacuations()) {
    out << "evacuates failure domain " << each->name << "\n";
  }
}

}  // namespace

exit_status RunCheck(std::span<const std::string> arguments,
                     command_streams streams) {
  command_form form{"check FOLDER [--json]", kHelp, {}, {"FOLDER"}};
  form.options.add_options()("json", "print the answer as JSON");
  const auto line = ParseCommandLine(form, arguments, streams);
  if (line.end.has_value()) {
    return *line.end;
  }
  const auto files = ReadFolder(line.values["FOLDER"].as<std::string>());
  if (!files.has_value()) {
    streams.err << "wagtailctl: " << files.error().message << "\n";
    return exit_status::kMisuse;
  }
  const bool as_json = line.values.count("json") != 0;
  const auto verdict = AcceptFolder(kUnpublished, *files, nullptr);
  if (as_json) {
    const auto answer =
        verdict.has_value() ? ToJson(**verdict) : ToJson(verdict.error());
    streams.out << answer.dump(2) << "\n";
  } else if (verdict.has_value()) {
    PrintText(**verdict, streams.out);
  } else {
    PrintRefusal(verdict.error(), streams.out);
  }
  return verdict.has_value() ? exit_status::kSuccess : exit_status::kRefused;
}

}  // namespace wagtailmount
