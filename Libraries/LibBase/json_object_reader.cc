#include "LibBase/json_object_reader.h"

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace wagtailmount {

using nlohmann::json;

namespace {

/// A whole number may be written with a fraction of zero, as 64.0.
std::optional<std::uint64_t> WholeNumberOf(const json& value) {
  if (value.is_number_unsigned()) {
    return value.get<std::uint64_t>();
  }
  constexpr double kHighestExact = 9007199254740992.0;  // 2 to the power of 53
  if (!value.is_number_float()) {
    return std::nullopt;
  }
  const double number = value.get<double>();
  const bool is_whole =
      number >= 0.0 && number <= kHighestExact && std::trunc(number) == number;
  return is_whole ? std::optional{static_cast<std::uint64_t>(number)}
                  : std::nullopt;
}

}  // namespace

result<json> ParseJsonWithComments(std::string_view text) {
  auto document = ParseJsonDocument(text);
  if (document.has_value()) {
    return std::move(*document);
  }
  std::string message;
  for (const auto& fault : document.error()) {
    message += message.empty() ? "" : "; ";
    message += fault.path + ": " + fault.reason;
  }
  return Fail(error_kind::kInvalidInput, std::move(message));
}

json_object_reader::json_object_reader(const json& object, std::string path,
                                       std::vector<document_fault>& faults)
    : object_(object), path_(std::move(path)), faults_(faults) {
  if (!object_.is_object()) {
    faults_.push_back({path_, "must be an object"});
  }
}

const json* json_object_reader::Find(std::string_view key) {
  asked_.emplace(key);
  if (!object_.is_object()) {
    return nullptr;
  }
  const auto member = object_.find(std::string(key));
  return member == object_.end() ? nullptr : &*member;
}

bool json_object_reader::Has(std::string_view key) const {
  return object_.is_object() && object_.contains(std::string(key));
}

std::string json_object_reader::PathOf(std::string_view key) const {
  return path_ + "." + std::string(key);
}

void json_object_reader::AddFault(std::string_view key, std::string reason) {
  faults_.push_back({PathOf(key), std::move(reason)});
}

std::string json_object_reader::RequiredText(std::string_view key) {
  if (object_.is_object() && !Has(key)) {
    AddFault(key, "is missing");
  }
  std::string text = OptionalText(key, "");
  if (Has(key) && object_[std::string(key)].is_string() && text.empty()) {
    AddFault(key, "must not be empty");
  }
  return text;
}

std::string json_object_reader::OptionalText(std::string_view key,
                                             std::string_view fallback) {
  const json* member = Find(key);
  if (member == nullptr) {
    return std::string(fallback);
  }
  if (!member->is_string()) {
    AddFault(key, "must be a text");
    return std::string(fallback);
  }
  return member->get<std::string>();
}

std::uint64_t json_object_reader::RequiredNumber(std::string_view key,
                                                 std::uint64_t lowest,
                                                 std::uint64_t highest) {
  if (object_.is_object() && !Has(key)) {
    AddFault(key, "is missing");
  }
  return OptionalNumber(key, lowest, lowest, highest);
}

std::uint64_t json_object_reader::OptionalNumber(std::string_view key,
                                                 std::uint64_t fallback,
                                                 std::uint64_t lowest,
                                                 std::uint64_t highest) {
  const json* member = Find(key);
  if (member == nullptr) {
    return fallback;
  }
  const std::optional<std::uint64_t> number = WholeNumberOf(*member);
  if (!number || *number < lowest || *number > highest) {
    AddFault(key, "must be a whole number from " + std::to_string(lowest) +
                      " to " + std::to_string(highest));
    return fallback;
  }
  return *number;
}

double json_object_reader::OptionalFraction(std::string_view key,
                                            double fallback, double lowest,
                                            double highest) {
  const json* member = Find(key);
  if (member == nullptr) {
    return fallback;
  }
  if (!member->is_number() || member->get<double>() < lowest ||
      member->get<double>() > highest) {
    AddFault(key, "must be a number from " + std::to_string(lowest) + " to " +
                      std::to_string(highest));
    return fallback;
  }
  return member->get<double>();
}

double json_object_reader::OptionalFigure(std::string_view key, double fallback,
                                          double lowest, double highest) {
  const json* member = Find(key);
  if (member == nullptr || member->is_boolean()) {
    return fallback;
  }
  if (!member->is_string()) {
    return OptionalFraction(key, fallback, lowest, highest);
  }
  const auto& text = member->get_ref<const std::string&>();
  if (text.empty() || text == "true" || text == "false") {
    return fallback;
  }
  double figure = 0.0;
  const char* const end = text.data() + text.size();
  const auto [after, status] = std::from_chars(text.data(), end, figure);
  const bool is_valid = status == std::errc{} && after == end &&
                        figure >= lowest && figure <= highest;
  if (!is_valid) {
    AddFault(key, "must be a number from " + std::to_string(lowest) + " to " +
                      std::to_string(highest));
  }
  return is_valid ? figure : fallback;
}

bool json_object_reader::OptionalFlag(std::string_view key, bool fallback) {
  const json* member = Find(key);
  if (member == nullptr) {
    return fallback;
  }
  if (!member->is_boolean()) {
    AddFault(key, "must be true or false");
    return fallback;
  }
  return member->get<bool>();
}

std::vector<std::string> json_object_reader::OptionalTexts(
    std::string_view key) {
  std::vector<std::string> texts;
  const json* member = OptionalArray(key);
  if (member == nullptr) {
    return texts;
  }
  for (const auto& element : *member) {
    if (!element.is_string() || element.get_ref<const std::string&>().empty()) {
      AddFault(key, "must hold only texts that are not empty");
      return {};
    }
    texts.push_back(element.get<std::string>());
  }
  return texts;
}

const json* json_object_reader::OptionalObject(std::string_view key) {
  const json* member = Find(key);
  if (member != nullptr && !member->is_object()) {
    AddFault(key, "must be an object");
    return nullptr;
  }
  return member;
}

const json* json_object_reader::OptionalArray(std::string_view key) {
  const json* member = Find(key);
  if (member != nullptr && !member->is_array()) {
    AddFault(key, "must be an array");
    return nullptr;
  }
  return member;
}

void json_object_reader::RefuseUnknownMembers() {
  if (!object_.is_object() || accepts_all_members_) {
    return;
  }
  for (const auto& [key, value] : object_.items()) {
    if (!asked_.contains(key)) {
      AddFault(key, "is not a known key");
    }
  }
}

}  // namespace wagtailmount
