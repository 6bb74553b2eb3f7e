#include "wagtailctl/folder_reader.h"

#include <fstream>
#include <string>
#include <system_error>
#include <utility>

#include "LibConfig/config_limits.h"

namespace wagtailmount {

namespace {

using std::filesystem::directory_iterator;
using std::filesystem::path;

/// Reads at most one byte more than a file may have, enough to see that it is
/// too large.
result<std::string> ReadContent(const path& file) {
  std::ifstream stream(file, std::ios::binary);
  std::string content(kLargestFileBytes + 1, '\0');
  stream.read(content.data(), static_cast<std::streamsize>(content.size()));
  if (stream.bad() || (stream.fail() && !stream.eof())) {
    return Fail(error_kind::kUnavailable,
                "cannot read file \"" + file.string() + "\"");
  }
  content.resize(static_cast<std::size_t>(stream.gcount()));
  content.shrink_to_fit();
  return content;
}

}  // namespace

result<std::vector<config_file>> ReadFolder(const path& folder) {
  std::error_code failure;
  std::vector<config_file> files;
  for (directory_iterator each(folder, failure), end; !failure && each != end;
       each.increment(failure)) {
    if (!std::filesystem::is_regular_file(each->path(), failure)) {
      return Fail(error_kind::kInvalidInput,
                  "\"" + each->path().string() + "\" is not a file");
    }
    auto content = ReadContent(each->path());
    if (!content.has_value()) {
      return tl::unexpected(std::move(content.error()));
    }
    config_file file;
    file.name = each->path().filename().string();
    file.content_digest = DigestOf(*content);
    file.content = std::make_shared<const std::string>(std::move(*content));
    files.push_back(std::move(file));
  }
  if (failure) {
    return Fail(
        error_kind::kUnavailable,
        "cannot read folder \"" + folder.string() + "\": " + failure.message());
  }
  return files;
}

}  // namespace wagtailmount
