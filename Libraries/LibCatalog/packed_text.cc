#include "LibCatalog/packed_text.h"

#include <zlib.h>

#include <algorithm>

namespace wagtailmount {

namespace {

/// The size of the first output buffer as a multiple of the compressed size:
/// the usual ratio for configurations of many similar routes.
constexpr std::size_t kExpectedCompressionRatio = 16;

const Bytef* BytesOf(std::string_view text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

}  // namespace

std::string CompressText(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string compressed(size, '\0');
  // Fails only if the buffer is too small, which compressBound() rules out.
  compress2(reinterpret_cast<Bytef*>(compressed.data()), &size, BytesOf(text),
            text.size(), Z_DEFAULT_COMPRESSION);
  compressed.resize(size);
  return compressed;
}

std::optional<std::string> DecompressText(std::string_view compressed,
                                          std::size_t max_bytes) {
  std::size_t buffer_size =
      std::min(max_bytes, compressed.size() * kExpectedCompressionRatio);
  while (true) {
    std::string text(buffer_size, '\0');
    uLongf size = buffer_size;
    const int status = uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                                  BytesOf(compressed), compressed.size());
    if (status == Z_OK) {
      text.resize(size);
      return text;
    }
    if (status != Z_BUF_ERROR || buffer_size >= max_bytes) {
      return std::nullopt;
    }
    buffer_size = std::min(max_bytes, buffer_size * 2);
  }
}

}  // namespace wagtailmount
