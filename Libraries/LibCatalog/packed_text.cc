#include "LibCatalog/packed_text.h"

#include <zlib.h>

#include <algorithm>

namespace wagtailmount {

namespace {

/// The size of the first output buffer as a multiple of the compressed size:
/// the usual ratio for configurations of many similar routes.
constexpr std::size_t kUsualRatio = 16;

const Bytef* BytesOf(std::string_view text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

}  // namespace

std::string PackText(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string packed(size, '\0');
  // Fails only if the buffer is too small, which compressBound() rules out.
  compress2(reinterpret_cast<Bytef*>(packed.data()), &size, BytesOf(text),
            text.size(), Z_DEFAULT_COMPRESSION);
  packed.resize(size);
  return packed;
}

std::optional<std::string> UnpackText(std::string_view packed,
                                      std::size_t most_bytes) {
  std::size_t room = std::min(most_bytes, packed.size() * kUsualRatio);
  while (true) {
    std::string text(room, '\0');
    uLongf size = room;
    const int status = uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                                  BytesOf(packed), packed.size());
    if (status == Z_OK) {
      text.resize(size);
      return text;
    }
    if (status != Z_BUF_ERROR || room >= most_bytes) {
      return std::nullopt;
    }
    room = std::min(most_bytes, room * 2);
  }
}

}  // namespace wagtailmount
