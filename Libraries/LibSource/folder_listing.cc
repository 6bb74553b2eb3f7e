#include "LibSource/folder_listing.h"

#include <utility>

namespace wagtailmount {

bool IsFileName(std::string_view name) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  return !name.empty() &&
         name.find_first_not_of(kAllowed) == std::string_view::npos;
}

result<void> folder_listing::CheckEntry(const manifest_entry& entry) const {
  if (!IsFileName(entry.name)) {
    return Fail(error_kind::kInvalidInput,
                "the listing holds \"" + entry.name +
                    "\", which is not a valid file name");
  }
  if (!entries_.empty() && entry.name <= entries_.back().name) {
    return Fail(error_kind::kInvalidInput,
                "the listing is not sorted by name at \"" + entry.name + "\"");
  }
  if (entry.size_bytes > limits_.file_bytes) {
    return Fail(error_kind::kInvalidInput,
                "\"" + entry.name + "\" is larger than " +
                    std::to_string(limits_.file_bytes) + " bytes");
  }
  if (entries_.size() >= limits_.files) {
    return Fail(
        error_kind::kInvalidInput,
        "the folder has more than " + std::to_string(limits_.files) + " files");
  }
  if (total_bytes_ + entry.size_bytes > limits_.total_bytes) {
    return Fail(error_kind::kInvalidInput,
                "the folder is larger than " +
                    std::to_string(limits_.total_bytes) + " bytes");
  }
  return {};
}

result<void> folder_listing::Add(listing_page page) {
  if (revision_ && *revision_ != page.revision) {
    return Fail(error_kind::kConflict, "the listing started at revision " +
                                           std::to_string(*revision_) +
                                           " but continued at revision " +
                                           std::to_string(page.revision));
  }
  revision_ = page.revision;
  for (auto& entry : page.entries) {
    if (auto checked = CheckEntry(entry); !checked) {
      return checked;
    }
    total_bytes_ += entry.size_bytes;
    entries_.push_back(std::move(entry));
  }
  if (!page.next.empty() && page.next <= next_) {
    return Fail(error_kind::kInvalidInput,
                "the listing's next page starts after \"" + page.next +
                    "\", which does not advance past the previous page");
  }
  is_complete_ = page.next.empty();
  next_ = std::move(page.next);
  return {};
}

}  // namespace wagtailmount
