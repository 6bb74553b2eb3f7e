// The node: one small process on each backend server VM.

#include <glog/logging.h>
#include <cstdlib>

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "LibBase/clock.h"
#include "LibNode/catalog_node.h"
#include "LibNode/node.h"
#include "LibNode/settings.h"
#include "platform/store_platform.h"

namespace {

namespace options = boost::program_options;

constexpr int kExitClean = 0;
constexpr int kExitFailed = 1;
constexpr int kExitMisuse = 2;

struct command_line {
  std::string settings_file;
  bool only_checks = false;
  bool asks_for_help = false;
};

options::options_description DescribeOptions() {
  options::options_description described(
      "wagtailmountd --settings FILE [--check]\n\n"
      "Runs one node until SIGTERM or SIGINT, which begin a graceful shutdown; "
      "a second one ends it at once.\n"
      "Exit status: 0 after a clean stop or check, 1 when the node could not "
      "start or had to cut requests, 2 on misuse or faulty settings.\n\n"
      "Options");
  described.add_options()("settings", options::value<std::string>(),
                          "the settings file, JSON with comments")(
      "check", "check the settings and exit")("help", "print this text");
  return described;
}

wagtailmount::result<command_line> ParseCommandLine(int count,
                                                    char** arguments) {
  try {
    options::variables_map given;
    options::store(
        options::parse_command_line(count, arguments, DescribeOptions()),
        given);
    command_line parsed;
    parsed.asks_for_help = given.count("help") > 0;
    parsed.only_checks = given.count("check") > 0;
    if (given.count("settings") > 0) {
      parsed.settings_file = given["settings"].as<std::string>();
    }
    if (parsed.settings_file.empty() && !parsed.asks_for_help) {
      return wagtailmount::Fail(wagtailmount::error_kind::kInvalidInput,
                                "--settings FILE is missing");
    }
    return parsed;
  } catch (const options::error& failure) {
    return wagtailmount::Fail(wagtailmount::error_kind::kInvalidInput,
                              failure.what());
  }
}

wagtailmount::result<std::string> ReadFile(const std::string& name) {
  std::ifstream file(name, std::ios::binary);
  if (!file) {
    return wagtailmount::Fail(wagtailmount::error_kind::kInvalidInput,
                              name + ": can't be opened");
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

wagtailmount::result<wagtailmount::node_settings> LoadSettings(
    const std::string& name) {
  const auto text = ReadFile(name);
  if (!text) {
    return tl::unexpected(text.error());
  }
  auto settings = wagtailmount::ParseNodeSettings(*text);
  if (settings) {
    return *std::move(settings);
  }
  std::string reasons;
  for (const auto& fault : settings.error()) {
    reasons += (reasons.empty() ? "" : "\n") + name + ": " + fault.path + ": " +
               fault.reason;
  }
  return wagtailmount::Fail(wagtailmount::error_kind::kInvalidInput, reasons);
}

int RunCatalogNode(const wagtailmount::node_settings& settings,
                   const std::string& settings_file) {
  const wagtailmount::system_runtime_clock clock;
  auto created = wagtailmount::catalog_node::Create(
      settings, wagtailmount::platform::StorePlatform(), clock,
      [settings_file] { return LoadSettings(settings_file); });
  if (!created) {
    std::cerr << "wagtailmountd: " << created.error().message << "\n";
    return kExitFailed;
  }
  const bool is_clean = (*created)->Run();
  // Without destructors: closing thousands of connections one by one takes a
  // process on a tenth of a core longer than the rest of its grace period.
  std::quick_exit(is_clean ? kExitClean : kExitFailed);
}

int RunNode(const wagtailmount::node_settings& settings) {
  const wagtailmount::system_runtime_clock clock;
  auto created = wagtailmount::node::Create(settings, clock);
  if (!created) {
    std::cerr << "wagtailmountd: " << created.error().message << "\n";
    return kExitFailed;
  }
  LOG(INFO) << "vm " << settings.vm << " in failure domain "
            << settings.failure_domain << " listens for callers on "
            << settings.caller.ToText();
  const bool is_clean = (*created)->Run();
  LOG(INFO) << "stopped";
  return is_clean ? kExitClean : kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const auto parsed = ParseCommandLine(argc, argv);
  if (!parsed) {
    std::cerr << "wagtailmountd: " << parsed.error().message << "\n"
              << DescribeOptions();
    return kExitMisuse;
  }
  if (parsed->asks_for_help) {
    std::cout << DescribeOptions();
    return kExitClean;
  }
  const auto settings = LoadSettings(parsed->settings_file);
  if (!settings) {
    std::cerr << settings.error().message << "\n";
    return kExitMisuse;
  }
  if (parsed->only_checks) {
    std::cout << parsed->settings_file << ": accepted\n";
    return kExitClean;
  }
  if (settings->interface == wagtailmount::platform_interface::kCatalog) {
    return RunCatalogNode(*settings, parsed->settings_file);
  }
  return RunNode(*settings);
}
