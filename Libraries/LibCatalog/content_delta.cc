#include "LibCatalog/content_delta.h"

#include <charconv>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "LibBase/digest.h"
#include "LibCatalog/packed_text.h"

namespace wagtailmount {

namespace {

/// Contents are split after this character, the end of a JSON object, so that
/// equal objects make equal pieces.
constexpr char kPieceEnd = '}';
/// A shorter piece is joined to the next one, because a copy operation takes
/// some bytes itself.
constexpr std::size_t kMinPieceBytes = 24;
/// Shorter sequences of operations are not worth the CPU time to compress.
constexpr std::size_t kMinCompressedBytes = 1'024;
/// The encoding of a delta's operations: compressed or as they are.
constexpr char kCompressed = 'z';
constexpr char kPlain = 'p';
/// The largest content that nodes send to each other. Bounds the memory that a
/// malformed delta can use.
constexpr std::size_t kMaxContentBytes = std::size_t{16} * 1024 * 1024;

std::vector<std::string_view> SplitIntoPieces(std::string_view content) {
  std::vector<std::string_view> pieces;
  std::size_t begin = 0;
  for (std::size_t at = 0; at < content.size(); ++at) {
    const std::size_t size = at + 1 - begin;
    if (content[at] == kPieceEnd && size >= kMinPieceBytes) {
      pieces.push_back(content.substr(begin, size));
      begin = at + 1;
    }
  }
  if (begin < content.size()) {
    pieces.push_back(content.substr(begin));
  }
  return pieces;
}

void AppendNumber(std::string& delta, std::uint64_t number) {
  delta += std::to_string(number);
  delta += ' ';
}

/// Parses a delta from front to back.
class delta_reader {
 public:
  explicit delta_reader(std::string_view delta) : remaining_(delta) {}

  bool IsAtEnd() const { return remaining_.empty(); }

  std::optional<std::uint64_t> ReadNumber() {
    std::uint64_t number = 0;
    const char* const end = remaining_.data() + remaining_.size();
    const auto [after, status] =
        std::from_chars(remaining_.data(), end, number);
    if (status != std::errc{} || after == end || *after != ' ') {
      return std::nullopt;
    }
    remaining_.remove_prefix(
        static_cast<std::size_t>(after - remaining_.data()) + 1);
    return number;
  }

  std::optional<std::string_view> ReadBytes(std::uint64_t count) {
    if (count > remaining_.size()) {
      return std::nullopt;
    }
    const std::string_view bytes = remaining_.substr(0, count);
    remaining_.remove_prefix(count);
    return bytes;
  }

  std::string_view Remaining() const { return remaining_; }

  std::optional<char> ReadCharacter() {
    const auto character = ReadBytes(1);
    return character ? std::optional{character->front()} : std::nullopt;
  }

 private:
  std::string_view remaining_;
};

/// Encodes a delta as a hash of the target, the encoding, and the operations
/// "c<offset> <size> " (copy from the base) and "i<size> <bytes>" (insert).
/// Copies of adjacent ranges of the base become one operation.
class delta_writer {
 public:
  /// Where the pending copy ends in the base; 0 if none is pending.
  std::size_t CopyEnd() const {
    return copy_size_ > 0 ? copy_offset_ + copy_size_ : 0;
  }

  void Copy(std::size_t offset, std::size_t size) {
    if (copy_size_ > 0 && copy_offset_ + copy_size_ == offset) {
      copy_size_ += size;
      return;
    }
    EndCopy();
    copy_offset_ = offset;
    copy_size_ = size;
  }

  void Insert(std::string_view bytes) {
    EndCopy();
    operations_ += 'i';
    AppendNumber(operations_, bytes.size());
    operations_ += bytes;
  }

  std::string Finish(std::string_view target) && {
    EndCopy();
    const bool is_compressed = operations_.size() >= kMinCompressedBytes;
    std::string delta;
    AppendNumber(delta, HashOf(target));
    delta += is_compressed ? kCompressed : kPlain;
    return delta + (is_compressed ? CompressText(operations_) : operations_);
  }

 private:
  void EndCopy() {
    if (copy_size_ > 0) {
      operations_ += 'c';
      AppendNumber(operations_, copy_offset_);
      AppendNumber(operations_, copy_size_);
      copy_size_ = 0;
    }
  }

  std::string operations_;
  std::size_t copy_offset_ = 0;
  std::size_t copy_size_ = 0;
};

bool ApplyOperation(std::string_view base, delta_reader& reader,
                    std::string& target) {
  const auto kind = reader.ReadCharacter();
  const auto first = reader.ReadNumber();
  if (!kind || !first) {
    return false;
  }
  if (*kind == 'i') {
    const auto bytes = reader.ReadBytes(*first);
    target += bytes.value_or(std::string_view{});
    return bytes.has_value();
  }
  const auto size = reader.ReadNumber();
  if (*kind != 'c' || !size || *first > base.size() ||
      *size > base.size() - *first) {
    return false;
  }
  target += base.substr(*first, *size);
  return true;
}

}  // namespace

std::string MakeDelta(std::string_view base, std::string_view target) {
  std::unordered_map<std::string_view, std::size_t> offset_of;
  for (const std::string_view piece : SplitIntoPieces(base)) {
    offset_of.emplace(piece,
                      static_cast<std::size_t>(piece.data() - base.data()));
  }
  delta_writer writer;
  for (const std::string_view piece : SplitIntoPieces(target)) {
    // A piece may occur in the base many times: the occurrence right after the
    // pending copy is the cheapest, since it only extends that copy.
    const std::size_t next = writer.CopyEnd();
    if (next > 0 && base.substr(next).starts_with(piece)) {
      writer.Copy(next, piece.size());
      continue;
    }
    const auto found = offset_of.find(piece);
    if (found == offset_of.end()) {
      writer.Insert(piece);
    } else {
      writer.Copy(found->second, piece.size());
    }
  }
  return std::move(writer).Finish(target);
}

std::optional<std::string> ApplyDelta(std::string_view base,
                                      std::string_view delta) {
  delta_reader head(delta);
  const auto expected_hash = head.ReadNumber();
  const auto encoding = head.ReadCharacter();
  if (!expected_hash || !encoding ||
      (*encoding != kCompressed && *encoding != kPlain)) {
    return std::nullopt;
  }
  std::optional<std::string> decompressed;
  if (*encoding == kCompressed) {
    decompressed = DecompressText(head.Remaining(), kMaxContentBytes);
    if (!decompressed) {
      return std::nullopt;
    }
  }
  delta_reader reader(decompressed ? *decompressed : head.Remaining());
  std::string target;
  while (!reader.IsAtEnd()) {
    if (!ApplyOperation(base, reader, target) ||
        target.size() > kMaxContentBytes) {
      return std::nullopt;
    }
  }
  return HashOf(target) == *expected_hash ? std::optional{std::move(target)}
                                          : std::nullopt;
}

}  // namespace wagtailmount
