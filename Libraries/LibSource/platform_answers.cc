#include "LibSource/platform_answers.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "LibBase/json_object_reader.h"

namespace wagtailmount {

namespace {

constexpr std::size_t kMaximumEntriesPerPage = 1'000;
constexpr std::uint64_t kMaximumInteger =
    std::numeric_limits<std::int64_t>::max();

/// Calls `read` with a json_object_reader for each element of the array `key`.
/// Adds a fault if the array is missing or holds more than 1,000 elements, or
/// for each element that is not an object.
template <typename element_reader>
void ForEachElement(json_object_reader& page, std::string_view key,
                    std::vector<document_fault>& faults, element_reader read) {
  const nlohmann::json* elements = page.OptionalArray(key);
  if (elements == nullptr) {
    if (!page.Has(key)) {
      page.AddFault(key, "is missing");
    }
    return;
  }
  if (elements->size() > kMaximumEntriesPerPage) {
    page.AddFault(key, "holds more than 1,000 elements");
    return;
  }
  std::size_t index = 0;
  for (const auto& element : *elements) {
    const std::string path =
        page.PathOf(key) + "[" + std::to_string(index++) + "]";
    if (!element.is_object()) {
      faults.push_back({path, "is not an object"});
      continue;
    }
    json_object_reader object(element, path, faults);
    read(object);
  }
}

endpoint ReadEndpoint(json_object_reader& object, std::string_view key) {
  const std::string text = object.RequiredText(key);
  if (text.empty()) {
    return {};
  }
  auto parsed = ParseEndpoint(text);
  if (!parsed) {
    object.AddFault(key, parsed.error().message);
    return {};
  }
  return std::move(*parsed);
}

manifest_entry ReadEntry(json_object_reader& object) {
  manifest_entry entry;
  entry.name = object.RequiredText("name");
  entry.size_bytes = object.RequiredNumber("size", 0, kMaximumInteger);
  const std::string hex = object.RequiredText("digest");
  const auto content_digest = ParseDigest(hex);
  if (content_digest) {
    entry.content_digest = *content_digest;
  } else if (!hex.empty()) {
    object.AddFault("digest", content_digest.error().message);
  }
  return entry;
}

vm_record ReadVm(json_object_reader& object) {
  vm_record record;
  record.vm = object.RequiredText("vm");
  record.region = object.RequiredText("region");
  record.failure_domain = object.RequiredText("failure_domain");
  record.service = object.RequiredText("service");
  record.peer = ReadEndpoint(object, "peer");
  record.hop = ReadEndpoint(object, "hop");
  const std::string state = object.RequiredText("state");
  if (state == "live") {
    record.state = vm_state::kServing;
  } else if (state == "leaving") {
    record.state = vm_state::kLeaving;
  } else if (!state.empty()) {
    object.AddFault("state", "is neither \"live\" nor \"leaving\"");
  }
  return record;
}

/// Parses `body` as a JSON object and converts it with `read`. Fails with the
/// first fault, including those that `read` adds.
template <typename page_type, typename page_reader>
result<page_type> ParseAnswer(std::string_view body, page_reader read) {
  const auto document = ParseJsonWithComments(body);
  if (!document) {
    return tl::unexpected(document.error());
  }
  if (!document->is_object()) {
    return Fail(error_kind::kInvalidInput, "the answer is not a JSON object");
  }
  std::vector<document_fault> faults;
  json_object_reader object(*document, "$", faults);
  page_type page = read(object, faults);
  if (!faults.empty()) {
    return Fail(error_kind::kInvalidInput,
                "the answer is malformed: " + faults.front().path + ": " +
                    faults.front().reason);
  }
  return page;
}

}  // namespace

result<listing_page> ParseListingPage(std::string_view body) {
  return ParseAnswer<listing_page>(body, [](json_object_reader& object,
                                            auto& faults) {
    listing_page page;
    page.revision = object.RequiredNumber("revision", 1, kMaximumInteger);
    page.next = object.OptionalText("next", "");
    ForEachElement(object, "entries", faults, [&](json_object_reader& entry) {
      page.entries.push_back(ReadEntry(entry));
    });
    return page;
  });
}

result<vm_page> ParseVmPage(std::string_view body) {
  return ParseAnswer<vm_page>(
      body, [](json_object_reader& object, auto& faults) {
        vm_page page;
        page.revision = object.RequiredNumber("revision", 0, kMaximumInteger);
        page.next = object.OptionalText("next", "");
        ForEachElement(object, "vms", faults, [&](json_object_reader& vm) {
          page.records.push_back(ReadVm(vm));
        });
        return page;
      });
}

result<std::uint64_t> ParseWatchAnswer(std::string_view body) {
  return ParseAnswer<std::uint64_t>(
      body, [](json_object_reader& object, auto& /*faults*/) {
        return object.RequiredNumber("revision", 0, kMaximumInteger);
      });
}

}  // namespace wagtailmount
