#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

#include "LibConfig/route_order.h"
#include "Tests/LibConfig/folder_model.h"

namespace wagtailmount {

using testing::Describe;
using testing::Expect;
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

std::string Draw(const names& from) { return *rc::gen::elementOf(from); }

bool DrawOneIn(int count) { return *rc::gen::inRange(0, count) == 0; }

int DrawNumber() { return *rc::gen::inRange(1, 9); }

void DrawEntry(model_file& file) {
  model_entry entry;
  model_key key;
  entry.number = DrawNumber();
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
    case 1:
      key = {"services", Draw(kServices)};
      entry.kind = model_kind::kService;
      break;
    case 2:
      key = {"resources", Draw({"r0", "r0", "r1"})};
      entry.kind = key.name == "r0" || DrawOneIn(2) ? model_kind::kRetryPolicy
                                                    : model_kind::kHeaderSet;
      break;
    default:
      key = {"routes", Draw(kRoutes)};
      entry.kind = model_kind::kRoute;
      entry.service = Draw(kServices);
      entry.retry = DrawOneIn(4) ? "r0" : "";
      entry.headers = DrawOneIn(6) ? "r1" : "";
  }
  if (DrawOneIn(8)) {
    entry.kind = model_kind::kRemoval;
  } else if (DrawOneIn(3)) {
    entry.may_override = DrawOneIn(3) ? names{} : names{"b"};
  }
  file.entries[key] = entry;
}

model_file DrawFile() {
  model_file file;
  file.team = Draw(kTeams);
  const int count = *rc::gen::inRange(0, 4);
  for (int i = 0; i < count; ++i) {
    DrawEntry(file);
  }
  return file;
}

/// Replaces, adds or removes one file.
void Edit(model_folder& files) {
  const std::string name = Draw(kFileNames);
  if (DrawOneIn(4)) {
    files.erase(name);
  } else {
    files[name] = DrawFile();
  }
}

model_folder DrawFolder() {
  model_folder files;
  const int count = *rc::gen::inRange(1, 5);
  for (int i = 0; i < count; ++i) {
    files[Draw(kFileNames)] = DrawFile();
  }
  return files;
}

using verdict_type =
    tl::expected<std::shared_ptr<const configuration>, refusal>;

/// Returns the result of AcceptFolder() as text, with every refusal reason.
std::string TextOf(const verdict_type& verdict) {
  return verdict.has_value()
             ? "accepted " + (*verdict)->Version().content.ToHex() + "\n" +
                   Summarize(**verdict)
             : "refused " + verdict.error().version.content.ToHex() + "\n" +
                   Describe(verdict.error());
}

bool IsWhole(const configuration& accepted) {
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

BOOST_AUTO_TEST_CASE(VerdictIsThatOfThePlainModel) {
  BOOST_TEST(rc::check("acceptance matches the reference model", [] {
    const model_folder files = DrawFolder();
    const auto verdict = AcceptFolder(1, Publish(Render(files)), nullptr);
    const auto expected = Expect(files);
    RC_CLASSIFY(expected.has_value(), "accepted");
    RC_ASSERT(verdict.has_value() == expected.has_value());
    if (verdict.has_value()) {
      RC_ASSERT(Summarize(**verdict) == *expected);
      RC_ASSERT(IsWhole(**verdict));
      CheckLookups(**verdict);
    }
  }));
}

BOOST_AUTO_TEST_CASE(OrderOfArrivalNeverMatters) {
  BOOST_TEST(
      rc::check("the result does not depend on the order of the files", [] {
        auto files = Publish(Render(DrawFolder()));
        const std::string told = TextOf(AcceptFolder(1, files, nullptr));
        std::mt19937 engine(*rc::gen::arbitrary<std::uint32_t>());
        std::shuffle(files.begin(), files.end(), engine);
        RC_ASSERT(TextOf(AcceptFolder(1, files, nullptr)) == told);
      }));
}

BOOST_AUTO_TEST_CASE(IncrementalResultIsTheFullOne) {
  BOOST_TEST(rc::check("the incremental result equals the full result", [] {
    model_folder files;
    std::shared_ptr<const configuration> held;
    int accepted = 0;
    for (std::uint64_t revision = 1; revision <= 12; ++revision) {
      model_folder edited = files;
      Edit(edited);
      const auto published = Publish(Render(edited));
      const auto full = AcceptFolder(revision, published, nullptr);
      const auto incremental = AcceptFolder(revision, published, held.get());
      RC_ASSERT(TextOf(incremental) == TextOf(full));
      if (incremental.has_value()) {
        RC_ASSERT(IsWhole(**incremental));
        held = *incremental;
        files = edited;
        ++accepted;
      }
    }
    RC_CLASSIFY(accepted >= 6, "half of the edits accepted");
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace wagtailmount
