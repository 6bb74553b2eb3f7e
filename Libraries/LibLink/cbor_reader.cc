#include "LibLink/cbor_reader.h"

#include <nlohmann/json.hpp>

namespace wagtailmount::detail {

namespace {

using nlohmann::json;

/// Walks a frame without building it and stops at the first excess.
class bounds_check final : public nlohmann::json_sax<json> {
 public:
  // The library's interface names these functions.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() override { return Count(); }
  bool boolean(bool /*value*/) override { return Count(); }
  bool number_integer(number_integer_t /*value*/) override { return Count(); }
  bool number_unsigned(number_unsigned_t /*value*/) override { return Count(); }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return Count();
  }
  bool string(string_t& /*value*/) override { return Count(); }
  bool binary(binary_t& /*value*/) override { return Count(); }
  bool start_object(std::size_t /*elements*/) override {
    return Refuse("it holds a map, which no message does");
  }
  bool key(string_t& /*value*/) override { return Count(); }
  bool end_object() override { return true; }
  bool start_array(std::size_t /*elements*/) override {
    ++depth_;
    return depth_ > kMaximumDepth ? Refuse("it is nested too deeply") : Count();
  }
  bool end_array() override {
    --depth_;
    return true;
  }
  bool parse_error(std::size_t position, const std::string& /*token*/,
                   const json::exception& /*failure*/) override {
    return Refuse("it is no CBOR at byte " + std::to_string(position));
  }
  // NOLINTEND(readability-identifier-naming)

  const std::string& Fault() const { return fault_; }

 private:
  bool Count() {
    ++values_;
    return values_ > kMaximumValues ? Refuse("it holds too many values") : true;
  }

  bool Refuse(std::string reason) {
    fault_ = std::move(reason);
    return false;
  }

  std::size_t depth_ = 0;
  std::size_t values_ = 0;
  std::string fault_;
};

const json& NullValue() {
  static const json null_value;
  return null_value;
}

}  // namespace

result<json> ReadBoundedCbor(std::string_view frame) {
  bounds_check bounds;
  if (!json::sax_parse(frame, &bounds, json::input_format_t::cbor)) {
    return Fail(error_kind::kInvalidInput,
                "the frame is refused: " + bounds.Fault());
  }
  return json::from_cbor(frame, true, false);
}

array_reader::array_reader(const json& array, std::string_view name,
                           std::size_t expected_items, std::string& fault)
    : array_(array), name_(name), fault_(fault) {
  if (HasFailed()) {
    return;
  }
  if (!array.is_array()) {
    fault_ = name_ + " is not an array";
    return;
  }
  if (array.size() != expected_items) {
    fault_ = name_ + " has " + std::to_string(array.size()) +
             " items instead of " + std::to_string(expected_items);
  }
}

std::uint64_t array_reader::Number(std::string_view name,
                                   std::uint64_t highest) {
  const json& item = Any();
  if (HasFailed()) {
    return 0;
  }
  if (!item.is_number_unsigned()) {
    SetFault(name, "is not an unsigned number");
    return 0;
  }
  const auto value = item.get<std::uint64_t>();
  if (value > highest) {
    SetFault(name, "is over " + std::to_string(highest));
    return 0;
  }
  return value;
}

std::string array_reader::Text(std::string_view name,
                               std::size_t longest_bytes) {
  const json& item = Any();
  if (HasFailed()) {
    return {};
  }
  if (!item.is_string()) {
    SetFault(name, "is not a text");
    return {};
  }
  const auto& text = item.get_ref<const std::string&>();
  if (text.size() > longest_bytes) {
    SetFault(name, "is over " + std::to_string(longest_bytes) + " bytes");
    return {};
  }
  return text;
}

std::string array_reader::Bytes(std::string_view name,
                                std::size_t longest_bytes) {
  const json& item = Any();
  if (HasFailed()) {
    return {};
  }
  if (!item.is_binary()) {
    SetFault(name, "is not a byte string");
    return {};
  }
  const auto& bytes = item.get_binary();
  if (bytes.size() > longest_bytes) {
    SetFault(name, "is over " + std::to_string(longest_bytes) + " bytes");
    return {};
  }
  return {bytes.begin(), bytes.end()};
}

const json& array_reader::Any() {
  if (HasFailed()) {
    return NullValue();
  }
  return array_[next_++];
}

void array_reader::SetFault(std::string_view name, std::string_view reason) {
  if (!HasFailed()) {
    fault_ = name_ + ": " + std::string(name) + " " + std::string(reason);
  }
}

}  // namespace wagtailmount::detail
