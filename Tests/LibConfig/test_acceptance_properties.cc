#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

#include "LibConfig/route_order.h"
#include "Tests/LibConfig/folder_model.h"

namespace wagtailmount {

using testing::Describe;
using testing::ExpectedSummary;
using testing::model_entry;
using testing::model_file;
using testing::model_folder;
using testing::model_key;
using testing::model_kind;
using testing::Publish;
using testing::Render;
using testing::Summarize;

namespace {

using names = std::vector<std::string>;

// Few names, so that the entries of generated files often collide.
const names kFileNames{"10-a", "20-b", "30-c", "40-d", "50-e"};
const names kTeams{"a", "a", "a", "b"};
const names kServices{"s0", "s0", "s1"};
const names kResources{"", "", "r0", "r1"};
const names kRoutes{"x0", "x1", "x2", "x3"};

std::string PickFrom(const names& from) { return *rc::gen::elementOf(from); }

bool IsOneIn(int count) { return *rc::gen::inRange(0, count) == 0; }

int GenerateNumber() { return *rc::gen::inRange(1, 9); }

void GenerateEntry(model_file& file) {
  model_entry entry;
  model_key key;
  entry.number = GenerateNumber();
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
    case 1:
      key = {"services", PickFrom(kServices)};
      entry.kind = model_kind::kService;
      break;
    case 2:
      key = {"resources", PickFrom({"r0", "r0", "r1"})};
      entry.kind = key.name == "r0" || IsOneIn(2) ? model_kind::kRetryPolicy
                                                  : model_kind::kHeaderSet;
      break;
    default:
      key = {"routes", PickFrom(kRoutes)};
      entry.kind = model_kind::kRoute;
      entry.service = PickFrom(kServices);
      entry.retry = IsOneIn(4) ? "r0" : "";
      entry.headers = IsOneIn(6) ? "r1" : "";
  }
  if (IsOneIn(8)) {
    entry.kind = model_kind::kRemoval;
  } else if (IsOneIn(3)) {
    entry.may_override = IsOneIn(3) ? names{} : names{"b"};
  }
  file.entries[key] = entry;
}

model_file GenerateFile() {
  model_file file;
  file.team = PickFrom(kTeams);
  const int count = *rc::gen::inRange(0, 4);
  for (int i = 0; i < count; ++i) {
    GenerateEntry(file);
  }
  return file;
}

/// Replaces, adds or removes one file.
void EditOneFile(model_folder& files) {
  const std::string name = PickFrom(kFileNames);
  if (IsOneIn(4)) {
    files.erase(name);
  } else {
    files[name] = GenerateFile();
  }
}

model_folder GenerateFolder() {
  model_folder files;
  const int count = *rc::gen::inRange(1, 5);
  for (int i = 0; i < count; ++i) {
    files[PickFrom(kFileNames)] = GenerateFile();
  }
  return files;
}

using acceptance_result =
    tl::expected<std::shared_ptr<const configuration>, refusal>;

/// Returns the result of AcceptFolder() as text, with every refusal reason.
std::string FormatResult(const acceptance_result& result) {
  return result.has_value()
             ? "accepted " + (*result)->Version().content.ToHex() + "\n" +
                   Summarize(**result)
             : "refused " + result.error().version.content.ToHex() + "\n" +
                   Describe(result.error());
}

bool HasConsistentReferences(const configuration& accepted) {
  return std::all_of(
      accepted.Routes().begin(), accepted.Routes().end(),
      [&accepted](const auto& each) {
        return each->target != nullptr && each->retry != nullptr &&
               accepted.FindService(each->target->name) == each->target;
      });
}

/// Returns the first route in list order that matches the request, or null.
const route* FindByScan(const configuration& accepted, std::string_view host,
                        std::string_view path, std::string_view method) {
  for (const auto& each : accepted.Routes()) {
    const std::string& prefix = each->path_prefix;
    const bool has_prefix =
        prefix == "/" ||
        (path.starts_with(prefix) &&
         (path.size() == prefix.size() || path[prefix.size()] == '/'));
    const bool has_host = each->host.empty() || each->host == host;
    if (has_host && has_prefix && TakesMethod(*each, method)) {
      return each.get();
    }
  }
  return nullptr;
}

void CheckLookups(const configuration& accepted) {
  for (const char* host : {"h", "i", "other"}) {
    for (const char* path : {"/", "/a", "/a/", "/ab", "/a/b", "/a/b/c/d"}) {
      for (const char* method : {"GET", "POST", "PUT"}) {
        RC_ASSERT(accepted.FindRoute(host, path, method) ==
                  FindByScan(accepted, host, path, method));
      }
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(acceptance_properties)

BOOST_AUTO_TEST_CASE(AcceptanceMatchesReferenceModel) {
  BOOST_TEST(rc::check("acceptance matches the reference model", [] {
    const model_folder files = GenerateFolder();
    const auto result = AcceptFolder(1, Publish(Render(files)), nullptr);
    const auto expected = ExpectedSummary(files);
    RC_CLASSIFY(expected.has_value(), "accepted");
    RC_ASSERT(result.has_value() == expected.has_value());
    if (result.has_value()) {
      RC_ASSERT(Summarize(**result) == *expected);
      RC_ASSERT(HasConsistentReferences(**result));
      CheckLookups(**result);
    }
  }));
}

BOOST_AUTO_TEST_CASE(ResultDoesNotDependOnFileOrder) {
  BOOST_TEST(
      rc::check("the result does not depend on the order of the files", [] {
        auto files = Publish(Render(GenerateFolder()));
        const std::string expected =
            FormatResult(AcceptFolder(1, files, nullptr));
        std::mt19937 engine(*rc::gen::arbitrary<std::uint32_t>());
        std::shuffle(files.begin(), files.end(), engine);
        RC_ASSERT(FormatResult(AcceptFolder(1, files, nullptr)) == expected);
      }));
}

BOOST_AUTO_TEST_CASE(IncrementalResultEqualsFullResult) {
  BOOST_TEST(rc::check("the incremental result equals the full result", [] {
    model_folder files;
    std::shared_ptr<const configuration> previous;
    int accepted = 0;
    for (std::uint64_t revision = 1; revision <= 12; ++revision) {
      model_folder edited = files;
      EditOneFile(edited);
      const auto published = Publish(Render(edited));
      const auto full = AcceptFolder(revision, published, nullptr);
      const auto incremental =
          AcceptFolder(revision, published, previous.get());
      RC_ASSERT(FormatResult(incremental) == FormatResult(full));
      if (incremental.has_value()) {
        RC_ASSERT(HasConsistentReferences(**incremental));
        previous = *incremental;
        files = edited;
        ++accepted;
      }
    }
    RC_CLASSIFY(accepted >= 6, "half of the edits accepted");
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
