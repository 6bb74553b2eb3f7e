#include "Benchmarks/LibConfig/generated_folder.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace wagtailmount::benchmarks {

namespace {

constexpr std::size_t kTeams = 120;
constexpr std::size_t kServicesPerHost = 4;
constexpr int kNumberDigits = 5;

std::string ZeroPadded(std::size_t number) {
  std::string digits = std::to_string(number);
  digits.insert(
      0, kNumberDigits - std::min<std::size_t>(kNumberDigits, digits.size()),
      '0');
  return digits;
}

std::string TeamOf(std::size_t number) {
  return "team-" + std::to_string(number % kTeams);
}

std::string Route(std::size_t service, std::size_t index,
                  std::size_t deadline_ms) {
  const std::string name = "service-" + ZeroPadded(service);
  const std::string host =
      "group-" + std::to_string(service / kServicesPerHost) + ".mesh";
  const bool is_read = index % 2 == 0;
  return "    \"" + name + "-route-" + std::to_string(index) +
         "\": {\n      \"match\": {\"host\": \"" + host +
         "\", \"path_prefix\": \"/" + name + "/v" +
         std::to_string(index / 2 + 1) + "\", \"methods\": " +
         (is_read ? "[\"GET\", \"HEAD\"]" : "[\"POST\"]") +
         "},\n      \"service\": \"" + name + "\",\n      \"idempotent\": " +
         (is_read ? "\"by-method\"" : "\"never\"") +
         ",\n      \"deadline_ms\": " + std::to_string(deadline_ms) + "\n    }";
}

/// Returns the text of a file without a service of its own: a retry policy, a
/// header set, or the platform team's override of a service.
std::string ExtraFile(std::size_t number) {
  if (number % 3 == 2) {
    return "{\"team\": \"platform\", \"services\": {\"service-" +
           ZeroPadded(number) + "\": {\"slots\": 24, \"connections\": 130}}}\n";
  }
  const std::string name = "shared-" + ZeroPadded(number);
  return "{\"team\": \"" + TeamOf(number) + "\", \"resources\": {\"" + name +
         (number % 3 == 0
              ? "\": {\"kind\": \"retry_policy\", \"attempts\": 2}}}\n"
              : "\": {\"kind\": \"header_set\", \"fields\": {\"X-Team\": "
                "\"a\"}}}}\n");
}

}  // namespace

config_file MakeFile(std::string name, std::string content) {
  const digest content_digest = DigestOf(content);
  return {std::move(name),
          std::make_shared<const std::string>(std::move(content)),
          content_digest};
}

std::string ServiceFileName(std::size_t number) {
  return "20-" + TeamOf(number) + "-service-" + ZeroPadded(number) + ".json";
}

std::string ServiceFile(std::size_t number, std::size_t slots,
                        std::size_t routes, std::size_t deadline_ms) {
  std::string text =
      "// The service and its routes, kept by its own team.\n"
      "{\n  \"team\": \"" +
      TeamOf(number) + "\",\n  \"services\": {\n    \"service-" +
      ZeroPadded(number) + "\": {\"slots\": " + std::to_string(slots) +
      ", \"connections\": 130, \"queue\": 40,\n      "
      "\"level\": {\"success_share\": 0.999, \"latency_ms\": "
      "300},\n      \"may_override\": [\"platform\"]}\n  },\n"
      "  \"routes\": {\n";
  for (std::size_t i = 0; i < routes; ++i) {
    text += (i == 0 ? "" : ",\n") + Route(number, i, deadline_ms);
  }
  return text + "\n  }\n}\n";
}

std::vector<config_file> GenerateFolder(const folder_size& size) {
  std::vector<config_file> files;
  std::size_t routes_left = size.routes;
  for (std::size_t i = 0; i < size.services; ++i) {
    const std::size_t routes = routes_left / (size.services - i);
    routes_left -= routes;
    files.push_back(
        MakeFile(ServiceFileName(i), ServiceFile(i, 20, routes, 2'000)));
  }
  for (std::size_t i = 0; files.size() < size.files; ++i) {
    files.push_back(
        MakeFile("50-extra-" + ZeroPadded(i) + ".json", ExtraFile(i)));
  }
  std::sort(files.begin(), files.end(),
            [](const auto& left, const auto& right) {
              return left.name < right.name;
            });
  return files;
}

}  // namespace wagtailmount::benchmarks
