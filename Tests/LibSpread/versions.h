#pragma once

#include <string>
#include <vector>

#include "LibConfig/acceptance.h"
#include "LibLink/message.h"

namespace wagtailmount::testing {

inline config_file MakeFile(std::string name, std::string content) {
  const digest content_digest = DigestOf(content);
  return {std::move(name),
          std::make_shared<const std::string>(std::move(content)),
          content_digest};
}

/// Returns a folder of `services` files with one service each, and a file with
/// one route. The revision decides which service has a slot count of its own,
/// and the name and path of the route.
inline std::vector<config_file> FolderAt(std::uint64_t revision,
                                         std::uint64_t services = 4) {
  std::vector<config_file> files;
  for (std::uint64_t i = 0; i < services; ++i) {
    const bool is_edited = i == revision % services;
    const std::string slots = std::to_string(is_edited ? revision + 10 : 5);
    files.push_back(MakeFile("10-" + std::to_string(i) + ".json",
                             R"({"team": "t", "services": {"s)" +
                                 std::to_string(i) + R"(": {"slots": )" +
                                 slots + "}}}"));
  }
  files.push_back(MakeFile(
      "20-" + std::to_string(revision) + ".json",
      R"({"team": "t", "routes": {"r": {"match": {"path_prefix": "/r)" +
          std::to_string(revision) + R"("}, "service": "s0"}}})"));
  return files;
}

/// Returns a folder that every node refuses: one of its routes names a service
/// that does not exist.
inline std::vector<config_file> BadFolderAt(std::uint64_t revision) {
  auto files = FolderAt(revision);
  files.push_back(MakeFile(
      "30-bad.json",
      R"({"team": "t", "routes": {"x": {"match": {"path_prefix": "/x)" +
          std::to_string(revision) + R"("}, "service": "none"}}})"));
  return files;
}

inline version_id VersionOf(std::uint64_t revision,
                            const std::vector<config_file>& files) {
  std::vector<manifest_entry> manifest;
  for (const auto& file : files) {
    manifest.push_back({file.name, file.content_digest, file.content->size()});
  }
  return {revision, DigestOfManifest(manifest)};
}

inline manifest_message ManifestOf(std::uint64_t revision,
                                   const std::vector<config_file>& files) {
  manifest_message manifest{VersionOf(revision, files), {}, {}, {}};
  for (const auto& file : files) {
    manifest.changed.push_back(
        {file.name, file.content_digest, file.content->size()});
  }
  return manifest;
}

inline files_message BodiesOf(const std::vector<config_file>& files) {
  files_message bodies;
  for (const auto& file : files) {
    bodies.bodies.push_back({file.content_digest, *file.content});
  }
  return bodies;
}

}  // namespace wagtailmount::testing
