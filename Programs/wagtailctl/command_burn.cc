#include <chrono>
#include <fstream>
#include <memory>
#include <ostream>
#include <sstream>
#include <thread>

#include "LibConfig/acceptance.h"
#include "LibReport/burn_page.h"
#include "LibReport/burn_report.h"
#include "LibReport/burn_text.h"
#include "wagtailctl/commands.h"
#include "wagtailctl/folder_reader.h"
#include "wagtailctl/node_query.h"
#include "wagtailctl/refusal_text.h"

namespace wagtailmount {

namespace options = boost::program_options;

namespace {

constexpr std::string_view kHelp =
    "Asks the nodes for their counters several times and tells how fast the "
    "error\nbudgets of success, latency and convergence are spent over a short "
    "and a long\nwindow: at 1 a budget just lasts, at 14.4 that of 30 days is "
    "gone in 50 hours.\nThe service levels are those of the configuration in "
    "--folder. With --history,\nrounds of earlier calls count too, and this "
    "one's are added.\n\n"
    "Exit status:\n"
    "  0  no budget burns in both windows, and every node answered\n"
    "  1  a budget burns in both windows, or a node did not answer\n"
    "  2  misuse, or a file can't be read or written";

constexpr std::uint64_t kUnpublished = 0;
constexpr std::uint32_t kDefaultRounds = 2;
constexpr std::uint32_t kDefaultEverySeconds = 10;
constexpr std::uint32_t kDefaultBriefSeconds = 300;
constexpr std::uint32_t kDefaultExtendedSeconds = 3'600;

/// What the command line asks for.
struct burn_request {
  std::string folder;
  std::string history;  ///< Empty for none.
  std::string page;     ///< Empty for none.
  std::uint32_t rounds = kDefaultRounds;
  std::chrono::seconds every{kDefaultEverySeconds};
  burn_windows windows;
  node_query query;
  bool as_json = false;
};

command_form BurnForm() {
  command_form form{
      "burn --folder FOLDER --node ADDRESS... [OPTION...]", kHelp, {}, {}};
  form.options.add_options()("folder",
                             options::value<std::string>()->required(),
                             "the folder of the configuration in force")(
      "rounds", options::value<std::uint32_t>()->default_value(kDefaultRounds),
      "how often to ask the nodes, at least once")(
      "every-s",
      options::value<std::uint32_t>()->default_value(kDefaultEverySeconds),
      "seconds from one round to the next")(
      "short-s",
      options::value<std::uint32_t>()->default_value(kDefaultBriefSeconds),
      "the short window, in seconds")(
      "long-s",
      options::value<std::uint32_t>()->default_value(kDefaultExtendedSeconds),
      "the long window, in seconds")(
      "history", options::value<std::string>()->default_value(""),
      "a file of rounds to read and to add to")(
      "page", options::value<std::string>()->default_value(""),
      "write the report as an HTML page with plots to this file");
  AddNodeOptions(form);
  return form;
}

result<burn_request> ReadRequest(const options::variables_map& values) {
  auto query = ReadNodeOptions(values);
  if (!query.has_value()) {
    return tl::unexpected(query.error());
  }
  burn_request request;
  request.query = std::move(*query);
  request.folder = values["folder"].as<std::string>();
  request.history = values["history"].as<std::string>();
  request.page = values["page"].as<std::string>();
  request.rounds = values["rounds"].as<std::uint32_t>();
  request.every = std::chrono::seconds(values["every-s"].as<std::uint32_t>());
  request.windows = {
      std::chrono::seconds(values["short-s"].as<std::uint32_t>()),
      std::chrono::seconds(values["long-s"].as<std::uint32_t>())};
  request.as_json = values.count("json") != 0;
  if (request.rounds == 0 || request.windows.brief.count() == 0 ||
      request.windows.brief > request.windows.extended) {
    return Fail(error_kind::kInvalidInput,
                "--rounds must be at least 1, and --short-s from 1 to "
                "--long-s");
  }
  return request;
}

sample_round TakeRound(const node_query& query) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  sample_round round;
  for (const auto& reply : AskNodes(query, "GET", "/v1/counters")) {
    if (!reply.answer.has_value()) {
      round.silent.push_back(
          {reply.node.ToText(), reply.answer.error().message});
      continue;
    }
    auto counters = ParseNodeCounters(*reply.answer);
    if (counters.has_value()) {
      round.nodes.push_back(std::move(*counters));
    } else {
      round.silent.push_back(
          {reply.node.ToText(), counters.error().front().path + " " +
                                    counters.error().front().reason});
    }
  }
  round.taken_unix_ms = duration_cast<milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
  return round;
}

result<std::vector<sample_round>> ReadHistory(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (file.empty() || !stream.is_open()) {
    return std::vector<sample_round>{};
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseHistory(text.str());
}

bool Write(const std::string& file, const std::string& text,
           std::ios::openmode mode) {
  std::ofstream stream(file, std::ios::binary | mode);
  stream << text;
  stream.flush();
  return stream.good();
}

/// Asks the nodes as often as requested; each round is added to the history at
/// once, so that one cut short keeps what it has.
result<std::vector<sample_round>> TakeRounds(const burn_request& request) {
  auto rounds = ReadHistory(request.history);
  for (std::uint32_t i = 0; rounds.has_value() && i < request.rounds; ++i) {
    if (i > 0) {
      std::this_thread::sleep_for(request.every);
    }
    rounds->push_back(TakeRound(request.query));
    if (!request.history.empty() &&
        !Write(request.history, ToLine(rounds->back()), std::ios::app)) {
      return Fail(error_kind::kUnavailable,
                  "cannot write \"" + request.history + "\"");
    }
  }
  return rounds;
}

/// The configuration whose service levels count, or null after printing why.
std::shared_ptr<const configuration> ReadLevels(const std::string& folder,
                                                command_streams streams) {
  const auto files = ReadFolder(folder);
  if (!files.has_value()) {
    streams.err << "wagtailctl: " << files.error().message << "\n";
    return nullptr;
  }
  auto verdict = AcceptFolder(kUnpublished, *files, nullptr);
  if (!verdict.has_value()) {
    streams.err << "wagtailctl: folder \"" << folder << "\" is ";
    PrintRefusal(verdict.error(), streams.err);
    return nullptr;
  }
  return std::move(*verdict);
}

exit_status StatusOf(const burn_report& report) {
  const bool is_calm = report.WorstState() < burn_state::kBurning;
  return is_calm && report.silent.empty() ? exit_status::kSuccess
                                          : exit_status::kRefused;
}

exit_status Report(const burn_request& request, command_streams streams) {
  const auto levels = ReadLevels(request.folder, streams);
  if (levels == nullptr) {
    return exit_status::kMisuse;
  }
  const auto rounds = TakeRounds(request);
  if (!rounds.has_value()) {
    streams.err << "wagtailctl: " << rounds.error().message << "\n";
    return exit_status::kMisuse;
  }
  const burn_report report = MakeBurnReport(*rounds, *levels, request.windows);
  if (!request.page.empty() &&
      !Write(request.page, ToPage(report), std::ios::trunc)) {
    streams.err << "wagtailctl: cannot write \"" << request.page << "\"\n";
    return exit_status::kMisuse;
  }
  streams.out << (request.as_json ? ToJson(report).dump(2) + "\n"
                                  : ToText(report));
  return StatusOf(report);
}

}  // namespace

exit_status RunBurn(std::span<const std::string> arguments,
                    command_streams streams) {
  const auto line = ParseCommandLine(BurnForm(), arguments, streams);
  if (line.end.has_value()) {
    return *line.end;
  }
  const auto request = ReadRequest(line.values);
  if (!request.has_value()) {
    streams.err << "wagtailctl: " << request.error().message << "\n";
    return exit_status::kMisuse;
  }
  return Report(*request, streams);
}

}  // namespace wagtailmount
