#include "LibBase/json_document.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "LibBase/text.h"

namespace wagtailmount {

using nlohmann::json;

namespace {

constexpr int kNumberOutOfRangeId = 406;

std::string LineAndColumnOf(std::string_view text, std::size_t offset) {
  std::size_t line = 1;
  std::size_t column = 1;
  for (std::size_t i = 0; i < offset && i < text.size(); ++i) {
    const bool is_line_end = text[i] == '\n';
    line += is_line_end ? 1 : 0;
    column = is_line_end ? 1 : column + 1;
  }
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

bool IsForbiddenControl(char character) {
  const auto byte = static_cast<unsigned char>(character);
  const bool is_layout =
      character == '\n' || character == '\r' || character == '\t';
  return (byte < 0x20U && !is_layout) || byte == 0x7fU;
}

std::optional<document_fault> FindForbiddenCharacter(std::string_view text) {
  const std::size_t valid = ValidUtf8PrefixOf(text);
  for (std::size_t i = 0; i < valid; ++i) {
    if (IsForbiddenControl(text[i])) {
      return document_fault{LineAndColumnOf(text, i),
                            "a control character is not allowed"};
    }
  }
  if (valid < text.size()) {
    return document_fault{LineAndColumnOf(text, valid),
                          "the text is not UTF-8"};
  }
  return std::nullopt;
}

/// Builds the document from the parser's events, as the library's own builder
/// does, and notes repeated keys and too deep nesting on the way.
class document_builder final : public json::json_sax_t {
 public:
  explicit document_builder(std::string_view text) : text_(text) {}

  json TakeDocument() { return std::move(document_); }
  std::vector<document_fault> TakeFaults() { return std::move(faults_); }

  bool null() override { return Place(nullptr); }
  bool boolean(bool value) override { return Place(value); }
  bool number_integer(std::int64_t value) override { return Place(value); }
  bool number_unsigned(std::uint64_t value) override { return Place(value); }
  bool number_float(double value, const std::string& /*text*/) override {
    return Place(value);
  }
  bool string(std::string& value) override { return Place(std::move(value)); }
  bool binary(json::binary_t& value) override {
    return Place(std::move(value));
  }
  bool start_object(std::size_t /*size*/) override {
    return Open(json::object());
  }
  bool start_array(std::size_t /*size*/) override {
    return Open(json::array());
  }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(std::string& name) override {
    json& object = *open_.back().container;
    if (object.contains(name)) {
      faults_.push_back({PathOf(name), "is given twice"});
    }
    open_.back().member = std::move(name);
    return true;
  }

  bool parse_error(std::size_t position, const std::string& /*last_token*/,
                   const json::exception& failure) override {
    const std::size_t offset = position == 0 ? 0 : position - 1;
    faults_.push_back({LineAndColumnOf(text_, offset),
                       failure.id == kNumberOutOfRangeId
                           ? "the number is out of range"
                           : "the text is not JSON with comments"});
    return false;
  }

 private:
  /// An object or array that is not closed yet.
  struct open_container {
    json* container = nullptr;
    std::string member;  ///< The key that the next value belongs to.
  };

  json& Put(json value) {
    if (open_.empty()) {
      document_ = std::move(value);
      return document_;
    }
    json& parent = *open_.back().container;
    if (parent.is_array()) {
      parent.push_back(std::move(value));
      return parent.back();
    }
    json& member = parent[open_.back().member];
    member = std::move(value);
    return member;
  }

  bool Place(json value) {
    Put(std::move(value));
    return true;
  }

  bool Open(json container) {
    if (open_.size() == kDeepestNesting) {
      faults_.push_back({ShortenedPath(), "is nested more than " +
                                              std::to_string(kDeepestNesting) +
                                              " levels deep"});
      return false;
    }
    json& placed = Put(std::move(container));
    open_.push_back({&placed, {}});
    return true;
  }

  bool Close() {
    open_.pop_back();
    return true;
  }

  std::string ShortenedPath() const {
    std::string path = "$";
    for (const auto& level : open_) {
      path += level.container->is_array() ? "[]" : "." + level.member;
    }
    return path;
  }

  std::string PathOf(std::string_view name) const {
    std::string path = "$";
    for (std::size_t i = 0; i + 1 < open_.size(); ++i) {
      const auto& level = open_[i];
      path += level.container->is_array() ? "[]" : "." + level.member;
    }
    return path + "." + std::string(name);
  }

  std::string_view text_;
  json document_;
  std::vector<open_container> open_;
  std::vector<document_fault> faults_;
};

}  // namespace

tl::expected<json, std::vector<document_fault>> ParseJsonDocument(
    std::string_view text) {
  if (auto fault = FindForbiddenCharacter(text)) {
    return tl::unexpected(std::vector<document_fault>{std::move(*fault)});
  }
  document_builder builder(text);
  json::sax_parse(text, &builder, json::input_format_t::json, true, true);
  auto faults = builder.TakeFaults();
  if (!faults.empty()) {
    return tl::unexpected(std::move(faults));
  }
  return builder.TakeDocument();
}

}  // namespace wagtailmount
