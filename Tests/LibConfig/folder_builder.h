#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibConfig/acceptance.h"

namespace wagtailmount::testing {

/// A configuration folder: maps each file name to its content.
using folder = std::map<std::string, std::string>;

inline config_file Publish(const std::string& name, std::string content) {
  const digest content_digest = DigestOf(content);
  return {name, std::make_shared<const std::string>(std::move(content)),
          content_digest};
}

inline std::vector<config_file> Publish(const folder& files) {
  std::vector<config_file> published;
  for (const auto& [name, content] : files) {
    published.push_back(Publish(name, content));
  }
  return published;
}

/// Returns the reasons of a refusal, one line each: "file|path|reason".
inline std::string Describe(const refusal& refused) {
  std::string text;
  for (const auto& each : refused.reasons) {
    text += each.file + "|" + each.path + "|" + each.reason + "\n";
  }
  return text;
}

}  // namespace wagtailmount::testing
