#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "LibBase/error.h"

namespace wagtailmount::detail {

/// The deepest nesting of arrays that a frame may hold. The library's reader
/// recurses, so deeper frames could exhaust the stack.
inline constexpr std::size_t kMaximumDepth = 8;

/// The most values that a frame may hold, since a byte of CBOR can become tens
/// of bytes in memory.
inline constexpr std::size_t kMaximumValues = std::size_t{256} * 1024;

/// Reads one CBOR value that fills `frame`, within the bounds above. Maps are
/// refused: messages hold arrays only.
result<nlohmann::json> ReadBoundedCbor(std::string_view frame);

/// Reads the items of one CBOR array in their order. After the first fault all
/// further reads give empty values, so that a message is read in one go and the
/// fault is asked for at the end.
class array_reader {
 public:
  /// `name` says in faults what the array is.
  array_reader(const nlohmann::json& array, std::string_view name,
               std::size_t expected_items, std::string& fault);

  std::uint64_t Number(std::string_view name, std::uint64_t highest);
  std::string Text(std::string_view name, std::size_t longest_bytes);
  std::string Bytes(std::string_view name, std::size_t longest_bytes);

  /// The next item whatever its type; null after a fault.
  const nlohmann::json& Any();

  bool HasFailed() const { return !fault_.empty(); }
  void SetFault(std::string_view name, std::string_view reason);

 private:
  const nlohmann::json& array_;
  std::string name_;
  std::size_t next_ = 0;
  std::string& fault_;
};

}  // namespace wagtailmount::detail
